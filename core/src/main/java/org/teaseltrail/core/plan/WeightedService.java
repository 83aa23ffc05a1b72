package org.teaseltrail.core.plan;

import org.teaseltrail.core.id.ServiceId;

/**
 * Is a service with the part of a route's requests that it gets.
 *
 * @param service the service
 * @param weight its part, in relation to the weights of the route's other services; not negative
 */
public record WeightedService(ServiceId service, int weight) {}
