package org.teaseltrail.core.serving;

import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * How fast an incarnation of an upstream works, as a VM heard it. Example: upstream "i-7f3a", 250
 * percent, heard 40 ms ago, 38 ms between events.
 *
 * @param upstream the incarnation
 * @param workTimePercent how long work takes there compared with its usual time, in percent; 0 if
 *     the upstream doesn't report it
 * @param ageMs time since it was heard, in milliseconds, at the time of sending
 * @param eventLatencyMs smoothed time between two events of a stream there, in milliseconds; 0 if
 *     unknown
 */
public record UpstreamCondition(
    UpstreamIncarnation upstream, int workTimePercent, long ageMs, double eventLatencyMs) {}
