package org.teaseltrail.core.backpressure;

import org.teaseltrail.core.registry.UpstreamLife;

/**
 * Lets an entry VM send some requests to an upstream that has named a limit.
 *
 * @param upstream the upstream's life
 * @param requests how many
 */
public record SendPermit(UpstreamLife upstream, int requests) {}
