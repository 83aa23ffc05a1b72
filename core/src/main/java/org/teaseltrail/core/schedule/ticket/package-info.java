/** The scheduler's state and estimates for tickets, from their offer to their end. */
package org.teaseltrail.core.schedule.ticket;
