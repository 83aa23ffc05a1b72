package org.teaseltrail.core.schedule.ticket;

/**
 * Is the engine time a ticket is expected to take.
 *
 * @param engineUs share of an engine's time, in microseconds, for fairness and waiting work
 * @param spanMs time from dispatch to end on an ordinary engine of the pool, in milliseconds
 * @param usefulNs until when the answer is useful, in monotonic nanoseconds: the caller's deadline
 *     or, if there is none, one that grows with the length
 */
public record TicketEstimate(double engineUs, double spanMs, long usefulNs) {}
