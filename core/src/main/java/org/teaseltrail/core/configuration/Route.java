package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;

/**
 * Leads what callers ask for to a pool.
 *
 * @param id its name
 * @param target what callers ask for
 * @param pool where it is served
 */
public record Route(RouteId id, RouteTarget target, PoolId pool) {}
