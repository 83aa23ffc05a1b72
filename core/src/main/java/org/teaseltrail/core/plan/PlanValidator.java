package org.teaseltrail.core.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;

/** Validates the consistency of a plan before it is accepted. */
public final class PlanValidator {

  private record RouteMatch(String host, String pathPrefix) {}

  private PlanValidator() {}

  /**
   * Validates a plan.
   *
   * @param plan the plan
   * @return the first failure, or empty if the plan is valid
   */
  public static Optional<PlanFailure> validate(ServingPlan plan) {
    Set<ServiceId> serviceIds =
        plan.services().stream().map(PlanService::id).collect(Collectors.toSet());
    Set<RouteMatch> matches = new HashSet<>();
    for (PlanRoute route : plan.routes()) {
      Optional<PlanFailure> failure = validate(route, serviceIds);
      if (failure.isPresent()) {
        return failure;
      }
      if (!matches.add(new RouteMatch(route.host(), route.pathPrefix()))) {
        return Optional.of(PlanFailure.SAME_PLACE);
      }
    }
    return hasSharedKey(plan.customers()) ? Optional.of(PlanFailure.SHARED_KEY) : Optional.empty();
  }

  private static Optional<PlanFailure> validate(PlanRoute route, Set<ServiceId> serviceIds) {
    if (!route.targets().stream().map(WeightedService::service).allMatch(serviceIds::contains)) {
      return Optional.of(PlanFailure.UNKNOWN_SERVICE);
    }
    boolean negative = route.targets().stream().anyMatch(target -> target.weight() < 0);
    long sum = route.targets().stream().mapToLong(WeightedService::weight).sum();
    if (negative || sum <= 0) {
      return Optional.of(PlanFailure.NO_WEIGHT);
    }
    return route.timeoutMs() <= 0 ? Optional.of(PlanFailure.NO_TIMEOUT) : Optional.empty();
  }

  private static boolean hasSharedKey(List<PlanCustomer> customers) {
    Map<String, CustomerId> owners = new HashMap<>();
    for (PlanCustomer customer : customers) {
      for (String key : customer.keys()) {
        CustomerId owner = owners.putIfAbsent(key, customer.id());
        if (owner != null && !owner.equals(customer.id())) {
          return true;
        }
      }
    }
    return false;
  }
}
