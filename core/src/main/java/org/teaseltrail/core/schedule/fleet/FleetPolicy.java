package org.teaseltrail.core.schedule.fleet;

/**
 * The limits that apply to upstreams.
 *
 * @param tokenWindow whether the adaptive window on tokens in flight applies
 * @param prefillBound whether the prompt tokens in progress at once are bounded
 * @param detectStragglers whether slow upstreams receive less work
 * @param prefixAffinity whether prefix caches are modelled
 * @param prefillBoundMs maximum prefill in progress on one engine, in milliseconds of engine time
 * @param interTokenTargetMs target time between two tokens of an answer, in milliseconds; an engine
 *     above it counts as overloaded
 */
public record FleetPolicy(
    boolean tokenWindow,
    boolean prefillBound,
    boolean detectStragglers,
    boolean prefixAffinity,
    double prefillBoundMs,
    double interTokenTargetMs) {}
