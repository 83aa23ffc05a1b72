package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;

/**
 * Pool of upstreams with its limits.
 *
 * @param id the pool
 * @param maxWaitingMs limit of the queued work, in milliseconds of processing time of the whole
 *     pool; load is shed above it
 * @param targetCopies number of upstreams that should have the pool's model loaded; zero disables
 *     automatic placement
 */
public record Pool(PoolId id, long maxWaitingMs, int targetCopies) {}
