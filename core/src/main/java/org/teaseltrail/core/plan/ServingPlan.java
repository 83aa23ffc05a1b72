package org.teaseltrail.core.plan;

import java.util.List;
import java.util.Optional;
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
 * @param keyPolicy whether callers are asked for keys; empty in plans of earlier programs, which
 *     ask for keys if there are customers
 */
public record ServingPlan(
    long version,
    List<PlanRoute> routes,
    List<PlanService> services,
    ClientLimits limits,
    List<PlanCustomer> customers,
    Optional<KeyPolicy> keyPolicy) {

  /** Copies the lists. */
  public ServingPlan {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    customers = List.copyOf(customers);
  }

  /**
   * Creates a plan that asks for keys if there are customers.
   *
   * @param version version assigned by the sender
   * @param routes the routes
   * @param services the services
   * @param limits limits of callers' connections
   * @param customers the customers
   */
  public ServingPlan(
      long version,
      List<PlanRoute> routes,
      List<PlanService> services,
      ClientLimits limits,
      List<PlanCustomer> customers) {
    this(version, routes, services, limits, customers, Optional.empty());
  }

  /**
   * Returns whether callers are asked for keys, on the routes that need one.
   *
   * @return true if they are, also if no customer holds a key
   */
  public boolean requiresKeys() {
    return keyPolicy.map(KeyPolicy.REQUIRED::equals).orElse(!customers.isEmpty());
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
