package org.teaseltrail.core.backpressure;

import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Is what an answer of an upstream said of its limit.
 *
 * @param upstream the upstream's life
 * @param limit the limit, {@link RateLimit#UNLIMITED} if the answer named none
 * @param agoMs how long ago the answer came, in milliseconds
 */
public record RateLimitObservation(UpstreamIncarnation upstream, RateLimit limit, long agoMs) {}
