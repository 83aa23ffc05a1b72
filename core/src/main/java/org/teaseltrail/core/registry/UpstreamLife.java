package org.teaseltrail.core.registry;

import org.teaseltrail.core.id.UpstreamId;

/**
 * Names one life of an upstream. A later one holds and knows nothing of those before.
 *
 * @param id the upstream
 * @param bornMs its start in Unix milliseconds by its own clock, 0 if it doesn't tell
 */
public record UpstreamLife(UpstreamId id, long bornMs) {}
