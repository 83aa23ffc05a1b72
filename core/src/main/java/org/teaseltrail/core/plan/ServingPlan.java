package org.teaseltrail.core.plan;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;

/**
 * Complete serving configuration with the version assigned by its sender. The plan with the highest
 * version is in force.
 *
 * @param version version assigned by the sender; increases, not necessarily by one
 * @param routes the routes
 * @param services the services
 * @param limits limits of callers' connections
 * @param customers the customers
 */
public record ServingPlan(
    long version,
    List<PlanRoute> routes,
    List<PlanService> services,
    ClientLimits limits,
    List<PlanCustomer> customers) {

  /** Copies the lists. */
  public ServingPlan {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    customers = List.copyOf(customers);
  }

  /**
   * Returns whether the plan defines a service.
   *
   * @param service the service
   * @return true if it does
   */
  public boolean hasService(ServiceId service) {
    return services.stream().anyMatch(each -> each.id().equals(service));
  }
}
