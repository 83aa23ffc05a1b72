package org.teaseltrail.core.plan;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/**
 * Service: a group of upstreams that can answer the same requests.
 *
 * @param id the service
 * @param maxConnections maximum number of connections to one of its upstreams, from all callers
 *     together
 * @param engine whether its upstreams are model engines, which batch requests and cache prompts
 * @param healthPath path at which its upstreams answer health checks, if they have one
 */
public record PlanService(
    ServiceId id, int maxConnections, boolean engine, Optional<String> healthPath) {

  /**
   * Creates a service without a health check.
   *
   * @param id the service
   * @param maxConnections maximum number of connections to one of its upstreams
   * @param engine whether its upstreams are model engines
   */
  public PlanService(ServiceId id, int maxConnections, boolean engine) {
    this(id, maxConnections, engine, Optional.empty());
  }
}
