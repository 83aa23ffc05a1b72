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

/** Checks that a plan fits together before it is taken. */
public final class PlanValidator {

  private record Place(String host, String pathPrefix) {}

  private PlanValidator() {}

  /**
   * Checks a plan.
   *
   * @param plan the plan
   * @return what is wrong, or empty if it may be taken
   */
  public static Optional<PlanFailure> validate(ServingPlan plan) {
    Set<ServiceId> known =
        plan.services().stream().map(PlanService::id).collect(Collectors.toSet());
    Set<Place> places = new HashSet<>();
    for (PlanRoute route : plan.routes()) {
      Optional<PlanFailure> failure = validate(route, known);
      if (failure.isPresent()) {
        return failure;
      }
      if (!places.add(new Place(route.host(), route.pathPrefix()))) {
        return Optional.of(PlanFailure.SAME_PLACE);
      }
    }
    return sharesKey(plan.customers()) ? Optional.of(PlanFailure.SHARED_KEY) : Optional.empty();
  }

  private static Optional<PlanFailure> validate(PlanRoute route, Set<ServiceId> known) {
    if (!route.targets().stream().map(WeightedService::service).allMatch(known::contains)) {
      return Optional.of(PlanFailure.UNKNOWN_SERVICE);
    }
    boolean negative = route.targets().stream().anyMatch(target -> target.weight() < 0);
    long sum = route.targets().stream().mapToLong(WeightedService::weight).sum();
    if (negative || sum <= 0) {
      return Optional.of(PlanFailure.NO_WEIGHT);
    }
    return route.timeoutMs() <= 0 ? Optional.of(PlanFailure.NO_TIMEOUT) : Optional.empty();
  }

  private static boolean sharesKey(List<PlanCustomer> customers) {
    Map<String, CustomerId> holders = new HashMap<>();
    for (PlanCustomer customer : customers) {
      for (String key : customer.keys()) {
        CustomerId holder = holders.putIfAbsent(key, customer.id());
        if (holder != null && !holder.equals(customer.id())) {
          return true;
        }
      }
    }
    return false;
  }
}
