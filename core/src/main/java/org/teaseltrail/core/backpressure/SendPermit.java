package org.teaseltrail.core.backpressure;

import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Lets an entry VM send some requests to an upstream that has named a limit.
 *
 * @param upstream the upstream's life
 * @param requests how many
 */
public record SendPermit(UpstreamIncarnation upstream, int requests) {}
