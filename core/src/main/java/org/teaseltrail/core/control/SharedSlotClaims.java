package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.serving.Urgency;

/**
 * The customers that occupy less than an equal part of shared slots: their requests that can still
 * be on time are granted the next free slots, however long the lines of the others are.
 */
final class SharedSlotClaims {

  private final Map<Optional<CustomerId>, Integer> waiting = new HashMap<>();
  private final Map<Optional<CustomerId>, Long> used;
  private final int bestRank;
  private final double equalPart;

  SharedSlotClaims(WaitForecaster.Load load) {
    used = load.usedByCustomer();
    load.waiting()
        .forEach(
            (requests, count) -> {
              if (!requests.urgency().late()) {
                waiting.merge(requests.customer(), count, Integer::sum);
              }
            });
    bestRank =
        load.waiting().keySet().stream()
            .mapToInt(requests -> requests.urgency().customerRank())
            .min()
            .orElse(Integer.MAX_VALUE);
    Set<Optional<CustomerId>> customers = new HashSet<>(used.keySet());
    customers.addAll(waiting.keySet());
    equalPart = (double) load.slotCount() / Math.max(1, customers.size());
  }

  /**
   * Returns whether a customer's next request is granted before the lines of other customers.
   *
   * @param urgency the request's urgency
   * @param customer its customer; empty for one that occupies no slot and has no request waiting
   */
  boolean hasClaim(Urgency urgency, Optional<CustomerId> customer) {
    return !urgency.late()
        && urgency.customerRank() <= bestRank
        && (customer.isEmpty() ? 0 : level(customer)) + 1 <= equalPart;
  }

  /** Returns the number of requests that wait and are granted before the lines of the others. */
  int waitingWithClaim() {
    return waiting.entrySet().stream()
        .filter(entry -> entry.getKey().isPresent() && level(entry.getKey()) <= equalPart)
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private double level(Optional<CustomerId> customer) {
    return used.getOrDefault(customer, 0L) + waiting.getOrDefault(customer, 0);
  }
}
