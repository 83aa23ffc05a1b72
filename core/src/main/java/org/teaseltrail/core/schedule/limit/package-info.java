/** The rate limits of customers, and the measurement of drain rates. */
package org.teaseltrail.core.schedule.limit;
