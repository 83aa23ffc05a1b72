package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.UpstreamId;

/**
 * A change of an upstream's speed state.
 *
 * @param upstream the upstream
 * @param before its previous state
 * @param after its new state
 * @param ratio its time per token relative to the pool's median; zero if it is not known
 */
public record SpeedStateChange(
    UpstreamId upstream, SpeedState before, SpeedState after, double ratio) {}
