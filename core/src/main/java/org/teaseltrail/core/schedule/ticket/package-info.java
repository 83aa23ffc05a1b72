/** Tickets as the scheduler tracks them, from their offer to their end. */
package org.teaseltrail.core.schedule.ticket;
