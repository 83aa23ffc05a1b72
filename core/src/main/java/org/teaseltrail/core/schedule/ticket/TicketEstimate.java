package org.teaseltrail.core.schedule.ticket;

/**
 * Is what a ticket is expected to take.
 *
 * @param engineUs share of an engine's time, in microseconds, for fairness and waiting work
 * @param outputTokens length of the answer as learned from earlier ones
 * @param serviceTimeMs time from dispatch to end on an ordinary engine of the pool, in milliseconds
 * @param usefulDeadlineNs until when the answer is useful, in monotonic nanoseconds: the caller's
 *     deadline or, if there is none, one that grows with the length
 * @param latestStartNs after this not even the fastest start could meet the caller's deadline, in
 *     monotonic nanoseconds; {@link TrackedTicket#NO_DEADLINE} if there is none
 */
public record TicketEstimate(
    double engineUs,
    double outputTokens,
    double serviceTimeMs,
    long usefulDeadlineNs,
    long latestStartNs) {}
