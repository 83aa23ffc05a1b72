package org.teaseltrail.core.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/** Finds a plan's routes, customers and services quickly. */
public final class PlanIndex {

  private final ServingPlan plan;
  private final Map<String, List<PlanRoute>> routesByHost = new HashMap<>();
  private final Map<String, PlanCustomer> customersByKey = new HashMap<>();
  private final Map<ServiceId, PlanService> services = new HashMap<>();

  /**
   * Builds the index.
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
   * Finds the route with the longest prefix that begins a path.
   *
   * @param host the request's host, a port behind it left out of account
   * @param path the request's path without its query
   * @return the route, if one matches
   */
  public Optional<PlanRoute> route(String host, String path) {
    return routesByHost.getOrDefault(hostKey(host), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Finds the customer that holds a key.
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
   * @return the service, if the plan holds it
   */
  public Optional<PlanService> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /**
   * Tells whether requests need keys at all.
   *
   * @return false if the plan holds no customers
   */
  public boolean hasCustomers() {
    return !plan.customers().isEmpty();
  }

  private static String hostKey(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
