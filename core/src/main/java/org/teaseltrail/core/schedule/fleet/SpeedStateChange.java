package org.teaseltrail.core.schedule.fleet;

import org.teaseltrail.core.id.UpstreamId;

/**
 * Tells that an upstream is judged otherwise than before.
 *
 * @param upstream the upstream
 * @param before how it was judged
 * @param after how it is judged
 * @param ratio its time per token against the pool's median; zero if silence decided
 */
public record SpeedStateChange(
    UpstreamId upstream, SpeedState before, SpeedState after, double ratio) {}
