package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.Urgency;
import org.teaseltrail.core.share.KindFloors;
import org.teaseltrail.core.share.MaxMinShares;

/**
 * Grants slots by the slots that each customer and each kind of request occupies at present.
 *
 * <p>Only candidates of the best customer rank are considered, and of these only those that can
 * still be on time, if there are any. A less urgent kind, that is, one with a lower route rank,
 * that occupies less than its floor goes first; then the customer that occupies the fewest slots;
 * and within a customer the kind with the highest route rank.
 *
 * <p>Slots in use are slot-time for each unit of time, so that requests that occupy a slot for long
 * count for more than short ones, and nothing has to be estimated or remembered: a new leader
 * learns all of it from the VMs' reports.
 */
final class SlotShareOrder implements GrantOrder {

  /**
   * One in this many slots is the turn of less urgent kinds where they are due less than one slot.
   */
  private static final long LESS_URGENT_INTERVAL = 4;

  private final Map<ServiceId, Long> granted = new HashMap<>();

  @Override
  public Optional<EntryVmSlotState.Candidate> next(
      ServiceId service,
      Collection<EntryVmSlotState.Candidate> candidates,
      SlotUsageTotals totals,
      int slotCount) {
    List<EntryVmSlotState.Candidate> eligible = mostUrgentClass(candidates);
    return findBelowFloor(service, eligible, totals, slotCount)
        .or(() -> eligible.stream().min(furthestBelowPartFirst(totals)));
  }

  @Override
  public void granted(ServiceId service, EntryVmSlotState.Candidate candidate) {
    granted.merge(service, 1L, Long::sum);
  }

  private static List<EntryVmSlotState.Candidate> mostUrgentClass(
      Collection<EntryVmSlotState.Candidate> candidates) {
    Optional<Urgency> first =
        candidates.stream().map(EntryVmSlotState.Candidate::urgency).min(Comparator.naturalOrder());
    return candidates.stream()
        .filter(each -> each.urgency().customerRank() == first.get().customerRank())
        .filter(each -> each.urgency().late() == first.get().late())
        .toList();
  }

  private Optional<EntryVmSlotState.Candidate> findBelowFloor(
      ServiceId service,
      List<EntryVmSlotState.Candidate> eligible,
      SlotUsageTotals totals,
      int slotCount) {
    int mostUrgentRank =
        eligible.stream().mapToInt(SlotShareOrder::kind).min().orElse(Integer.MAX_VALUE);
    List<Integer> lessUrgentKinds =
        eligible.stream()
            .map(SlotShareOrder::kind)
            .filter(kind -> kind > mostUrgentRank)
            .distinct()
            .toList();
    if (lessUrgentKinds.isEmpty()) {
      return Optional.empty();
    }
    KindFloors floors =
        new KindFloors(
            slotCount,
            lessUrgentKinds.size(),
            lessUrgentKinds.stream().mapToLong(totals::usedByKind).sum());
    boolean isTurn = isLessUrgentTurn(service);
    return eligible.stream()
        .filter(each -> kind(each) > mostUrgentRank)
        .filter(each -> floors.isDue(totals.usedByKind(kind(each)), isTurn))
        .min(
            Comparator.<EntryVmSlotState.Candidate>comparingLong(
                    each -> totals.usedByKind(kind(each)))
                .thenComparingDouble(each -> level(each, totals))
                .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs));
  }

  private boolean isLessUrgentTurn(ServiceId service) {
    return granted.getOrDefault(service, 0L) % LESS_URGENT_INTERVAL == LESS_URGENT_INTERVAL - 1;
  }

  private static Comparator<EntryVmSlotState.Candidate> furthestBelowPartFirst(
      SlotUsageTotals totals) {
    return Comparator.<EntryVmSlotState.Candidate>comparingDouble(each -> level(each, totals))
        .thenComparing(EntryVmSlotState.Candidate::urgency)
        .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs);
  }

  private static double level(EntryVmSlotState.Candidate candidate, SlotUsageTotals totals) {
    return MaxMinShares.level(
        totals.usedByCustomer(candidate.customer()), MaxMinShares.DEFAULT_WEIGHT);
  }

  private static int kind(EntryVmSlotState.Candidate candidate) {
    return candidate.urgency().routeRank();
  }
}
