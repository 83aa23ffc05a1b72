package org.teaseltrail.standin.model;

import java.util.List;

/**
 * Step of the batch that is being executed.
 *
 * @param parts its work for each sequence
 * @param endNs end time on the caller's monotonic clock, in nanoseconds
 * @param durationNs duration, in nanoseconds
 */
record Step(List<StepPart> parts, long endNs, long durationNs) {}
