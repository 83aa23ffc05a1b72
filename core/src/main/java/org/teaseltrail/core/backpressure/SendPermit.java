package org.teaseltrail.core.backpressure;

import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Permits an entry VM to send a number of requests to a rate-limited upstream.
 *
 * @param upstream the upstream's incarnation
 * @param requests number of requests
 */
public record SendPermit(UpstreamIncarnation upstream, int requests) {}
