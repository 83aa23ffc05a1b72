package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * A ticket together with the upstream that is selected for it.
 *
 * @param ticket the ticket
 * @param upstream the upstream, which can start it now
 * @param cachedTokens prompt tokens that are expected to be in the upstream's prefix cache
 * @param reason why this upstream was selected, for the decision log
 */
record Placement(TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens, String reason) {}
