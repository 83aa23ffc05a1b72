package org.teaseltrail.core.plan;

import org.teaseltrail.core.id.ServiceId;

/**
 * Is a service: upstreams that answer the same requests.
 *
 * @param id the service
 * @param maxConnections connections that one of its upstreams takes from all callers together
 * @param engine whether its upstreams are model engines, which batch requests and cache prompts
 */
public record PlanService(ServiceId id, int maxConnections, boolean engine) {}
