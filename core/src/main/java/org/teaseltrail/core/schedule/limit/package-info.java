/** Limits on customers and measures of how fast the pool drains. */
package org.teaseltrail.core.schedule.limit;
