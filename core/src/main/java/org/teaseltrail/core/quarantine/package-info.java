/** Detects requests that crash the upstreams processing them, and quarantines them by content. */
package org.teaseltrail.core.quarantine;
