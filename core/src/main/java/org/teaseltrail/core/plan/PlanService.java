package org.teaseltrail.core.plan;

import org.teaseltrail.core.id.ServiceId;

/**
 * Service: a group of upstreams that can answer the same requests.
 *
 * @param id the service
 * @param maxConnections maximum number of connections to one of its upstreams, from all callers
 *     together
 * @param engine whether its upstreams are model engines, which batch requests and cache prompts
 */
public record PlanService(ServiceId id, int maxConnections, boolean engine) {}
