package org.teaseltrail.standin.model;

import java.util.List;

/**
 * Is a step that runs.
 *
 * @param parts what it does for each sequence
 * @param endNs when it ends, on the caller's monotonic clock
 * @param durationNs how long it takes, in nanoseconds
 */
record Step(List<StepPart> parts, long endNs, long durationNs) {}
