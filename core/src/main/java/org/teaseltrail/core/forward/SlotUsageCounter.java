package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.SlotUsage;

/**
 * Counts the slots that requests of each kind use, and of each customer where slots are shared
 * between customers.
 */
final class SlotUsageCounter {

  private record Kind(ServiceId service, int routeRank, Optional<CustomerId> customer) {}

  private final Predicate<ServiceId> sharesSlots;
  private final Map<Kind, Integer> places = new HashMap<>();

  /**
   * Creates a counter.
   *
   * @param sharesSlots whether slots of a service are shared between customers
   */
  SlotUsageCounter(Predicate<ServiceId> sharesSlots) {
    this.sharesSlots = sharesSlots;
  }

  void acquire(ActiveRequest request) {
    places.merge(kind(request), 1, Integer::sum);
  }

  void release(ActiveRequest request) {
    places.computeIfPresent(kind(request), (kind, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns whether slots of a service are shared between customers. */
  boolean isByCustomer(ServiceId service) {
    return sharesSlots.test(service);
  }

  /** Returns the number of slots of a service that a customer's requests of all kinds use. */
  int inUse(ServiceId service, Optional<CustomerId> customer) {
    return places.entrySet().stream()
        .filter(entry -> entry.getKey().service().equals(service))
        .filter(entry -> entry.getKey().customer().equals(customer))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  List<SlotUsage> snapshot() {
    Map<Kind, Integer> reported = new HashMap<>();
    places.forEach((kind, count) -> reported.merge(reportedKind(kind), count, Integer::sum));
    return reported.entrySet().stream()
        .map(
            entry ->
                new SlotUsage(
                    entry.getKey().service(),
                    entry.getKey().routeRank(),
                    entry.getKey().customer(),
                    entry.getValue()))
        .toList();
  }

  private Kind reportedKind(Kind kind) {
    return isByCustomer(kind.service())
        ? kind
        : new Kind(kind.service(), kind.routeRank(), Optional.empty());
  }

  private static Kind kind(ActiveRequest request) {
    return new Kind(request.service(), request.route().priority(), request.customer());
  }
}
