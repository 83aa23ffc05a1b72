/** The upstreams of a pool: their announcements, their speed and the requests in flight on each. */
package org.teaseltrail.core.schedule.fleet;
