package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Is a ticket with the upstream chosen for it.
 *
 * @param ticket the ticket
 * @param upstream the upstream, which can start it now
 * @param cachedTokens prompt tokens that the upstream's cache is expected to save
 * @param reason why, for the log
 */
record Placement(TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens, String reason) {}
