package org.teaseltrail.core.plan;

import org.teaseltrail.core.id.ServiceId;

/**
 * Target service of a route with its weight in the traffic split.
 *
 * @param service the service
 * @param weight its weight relative to those of the route's other services; not negative
 */
public record WeightedService(ServiceId service, int weight) {}
