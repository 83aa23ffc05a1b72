package org.teaseltrail.core.plan;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;

/**
 * Is a whole configuration with the version that its sender gave it. The highest version counts.
 *
 * @param version the sender's number; grows in uneven steps
 * @param routes the routes
 * @param services the services
 * @param limits bounds of callers' connections
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
   * Tells whether it has a service.
   *
   * @param service the service
   * @return true if it has
   */
  public boolean hasService(ServiceId service) {
    return services.stream().anyMatch(each -> each.id().equals(service));
  }
}
