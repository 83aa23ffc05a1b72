package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;

/**
 * Is a pool with its limits.
 *
 * @param id its name
 * @param maxWaitingMs work that may wait, in milliseconds of the whole pool's time; above it,
 *     shedding starts
 * @param targetCopies upstreams that are to hold the pool's model; zero leaves placement alone
 */
public record Pool(PoolId id, long maxWaitingMs, int targetCopies) {}
