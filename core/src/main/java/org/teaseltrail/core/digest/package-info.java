/** Message digests that every Java platform provides. */
package org.teaseltrail.core.digest;
