package org.teaseltrail.core.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/** Index of a plan for lookups of routes by host, customers by API key and services by id. */
public final class PlanIndex {

  private final ServingPlan plan;
  private final Map<String, List<PlanRoute>> routesByHost = new HashMap<>();
  private final Map<String, PlanCustomer> customersByKey = new HashMap<>();
  private final Map<ServiceId, PlanService> services = new HashMap<>();

  /**
   * Builds the index of a plan.
   *
   * @param plan the plan
   */
  public PlanIndex(ServingPlan plan) {
    this.plan = plan;
    for (PlanRoute route : plan.routes()) {
      routesByHost.computeIfAbsent(hostKey(route.host()), key -> new ArrayList<>()).add(route);
    }
    Comparator<PlanRoute> longestFirst =
        Comparator.comparingInt((PlanRoute route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    for (PlanCustomer customer : plan.customers()) {
      customer.keys().forEach(key -> customersByKey.put(key, customer));
    }
    plan.services().forEach(service -> services.put(service.id(), service));
  }

  /**
   * Returns the plan.
   *
   * @return the indexed plan
   */
  public ServingPlan plan() {
    return plan;
  }

  /**
   * Finds the route with the longest path prefix that matches.
   *
   * @param host the host of the request; a port is ignored
   * @param path the path of the request without the query
   * @return the route, if one matches
   */
  public Optional<PlanRoute> route(String host, String path) {
    return routesByHost.getOrDefault(hostKey(host), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Finds the customer to which an API key belongs.
   *
   * @param key the key
   * @return the customer, if the key is known
   */
  public Optional<PlanCustomer> customer(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /**
   * Finds a service.
   *
   * @param id the service
   * @return the service, if the plan defines it
   */
  public Optional<PlanService> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  private static String hostKey(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
