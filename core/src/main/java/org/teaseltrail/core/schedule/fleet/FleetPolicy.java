package org.teaseltrail.core.schedule.fleet;

/**
 * Says which limits on upstreams apply.
 *
 * @param tokenWindow whether the learned window on tokens in flight applies
 * @param prefillBound whether prompt tokens in process at once are bounded
 * @param detectStragglers whether slow upstreams get less
 * @param prefixAffinity whether prefix caches are modelled
 * @param prefillBoundMs prefill that may be in process on one engine, in milliseconds of its time
 * @param interTokenTargetMs time between tokens from which an engine counts as crowded, in
 *     milliseconds
 */
public record FleetPolicy(
    boolean tokenWindow,
    boolean prefillBound,
    boolean detectStragglers,
    boolean prefixAffinity,
    double prefillBoundMs,
    double interTokenTargetMs) {}
