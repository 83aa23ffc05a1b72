package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.collection.OrderedCopies;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.serving.SlotUsage;

/**
 * Totals of the slots that all entry VMs use or were granted: at each upstream, and by kind of
 * request and customer for one service.
 *
 * <p>They are kept up to date by the changes that each report brings. If each allocation added up
 * the slots of all VMs anew, a hundred VMs that report each change of their queues would keep the
 * leader's only thread busy and delay syncs, quotas and operators.
 */
final class SlotUsageTotals {

  private record Holder(Optional<CustomerId> customer, int routeRank) {}

  private final UpstreamUsage upstreams;
  private final Map<Integer, Long> slotsByRank = new HashMap<>();
  private final Map<Optional<CustomerId>, Long> slotsByCustomer = new HashMap<>();
  private final Map<Holder, Long> slotsByHolder = new HashMap<>();

  /** Creates the totals of a service without any slots in use. */
  SlotUsageTotals(UpstreamUsage upstreams) {
    this.upstreams = upstreams;
  }

  /** Adds slots that a VM has reported as in use by one kind of request and customer. */
  void addHeld(SlotUsage usage) {
    change(usage.customer(), usage.routeRank(), usage.places());
  }

  /** Subtracts slots that a VM no longer reports. */
  void removeHeld(SlotUsage usage) {
    change(usage.customer(), usage.routeRank(), -usage.places());
  }

  /** Adds a slot that was granted and that its VM has not reported on yet. */
  void addGranted(SlotAllocator.Grant grant) {
    change(grant.customer(), grant.urgency().routeRank(), 1);
  }

  /** Subtracts a granted slot that its VM has reported on, or that was lost. */
  void removeGranted(SlotAllocator.Grant grant) {
    change(grant.customer(), grant.urgency().routeRank(), -1);
  }

  private void change(Optional<CustomerId> customer, int routeRank, long places) {
    merge(slotsByRank, routeRank, places);
    merge(slotsByCustomer, customer, places);
    merge(slotsByHolder, new Holder(customer, routeRank), places);
  }

  private static <K> void merge(Map<K, Long> slots, K key, long places) {
    slots.compute(
        key,
        (same, held) -> {
          long sum = (held == null ? 0 : held) + places;
          return sum == 0 ? null : sum;
        });
  }

  /** Returns how many slots of an upstream are in use or granted. */
  int usedAt(UpstreamId upstream) {
    return upstreams.usedAt(upstream);
  }

  /** Returns whether an upstream may have a prompt that it has not processed yet. */
  boolean hasUnreadPrompt(UpstreamId upstream) {
    return upstreams.hasUnreadPrompt(upstream);
  }

  /** Returns how many slots are in use by, or granted to, requests of a kind. */
  long usedByKind(int routeRank) {
    return slotsByRank.getOrDefault(routeRank, 0L);
  }

  /** Returns how many slots are in use by, or granted to, the requests of each customer. */
  Map<Optional<CustomerId>, Long> usedByCustomer() {
    return OrderedCopies.mapOf(slotsByCustomer);
  }

  /** Returns how many slots are in use by, or granted to, a customer's requests. */
  long usedByCustomer(Optional<CustomerId> customer) {
    return slotsByCustomer.getOrDefault(customer, 0L);
  }

  /** Returns how many slots are in use by, or granted to, a customer's requests of a kind. */
  long usedByCustomer(Optional<CustomerId> customer, int routeRank) {
    return slotsByHolder.getOrDefault(new Holder(customer, routeRank), 0L);
  }
}
