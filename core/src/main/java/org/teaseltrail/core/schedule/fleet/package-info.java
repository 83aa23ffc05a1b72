/** The upstreams of a pool: what they say of themselves and the work in flight on each. */
package org.teaseltrail.core.schedule.fleet;
