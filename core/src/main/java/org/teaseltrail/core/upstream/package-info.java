/** What upstreams say of themselves. */
package org.teaseltrail.core.upstream;
