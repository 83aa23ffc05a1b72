package org.teaseltrail.core.backpressure;

import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Rate limit that an upstream announced with an answer.
 *
 * @param upstream the upstream's incarnation
 * @param limit the limit, {@link RateLimit#UNLIMITED} if the answer announced none
 * @param agoMs age of the answer in milliseconds
 */
public record RateLimitObservation(UpstreamIncarnation upstream, RateLimit limit, long agoMs) {}
