/**
 * The scheduler of one pool, which decides which request is served next, by which upstream, and
 * which is refused.
 */
package org.teaseltrail.core.schedule;
