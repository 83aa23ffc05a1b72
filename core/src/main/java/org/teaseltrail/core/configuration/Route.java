package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RouteId;

/**
 * Route from the model or service that callers request to the pool that serves it.
 *
 * @param id the route
 * @param target the requested model or service
 * @param pool the pool that serves it
 */
public record Route(RouteId id, RouteTarget target, PoolId pool) {}
