package org.teaseltrail.core.schedule.ticket;

/**
 * The estimated cost and the resulting deadlines of a ticket.
 *
 * @param engineUs share of an engine's time, in microseconds, by which fair shares and waiting work
 *     are calculated
 * @param outputTokens length of the answer, estimated from earlier ones
 * @param serviceTimeMs service time from dispatch to end on a typical engine of the pool, in
 *     milliseconds
 * @param usefulDeadlineNs the time until which the answer is useful, in monotonic nanoseconds: the
 *     caller's deadline or, if there is none, a soft deadline that grows with the service time
 * @param latestStartNs the time after which a start can't meet the caller's deadline even in the
 *     best case, in monotonic nanoseconds; {@link TrackedTicket#NO_DEADLINE} if there is none
 */
public record TicketEstimate(
    double engineUs,
    double outputTokens,
    double serviceTimeMs,
    long usefulDeadlineNs,
    long latestStartNs) {}
