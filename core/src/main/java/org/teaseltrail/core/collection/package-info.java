/** Collections whose iteration order is the same in every process. */
package org.teaseltrail.core.collection;
