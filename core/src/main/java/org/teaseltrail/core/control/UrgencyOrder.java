package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.Urgency;

/**
 * Grants slots to the most urgent requests, and at regular turns to one of a less urgent kind that
 * uses few slots.
 */
final class UrgencyOrder implements GrantOrder {

  /**
   * One in this many slots goes to a waiting request of a less urgent kind, that is, with a lower
   * route rank. Otherwise some kinds would never be served under overload; each kind is to get at
   * least two fifths of its fair share.
   */
  private static final long LESS_URGENT_INTERVAL = 4;

  /**
   * Fraction of a service's slots up to which a less urgent kind of request gets such a slot.
   * Otherwise the least urgent kind would come to use most of the slots if its requests run the
   * longest: with requests that run four times as long, a quarter of the grants is more than half
   * of the slots.
   */
  private static final double LESS_URGENT_MAX_RATIO = 0.25;

  private static final Comparator<EntryVmSlotState.Candidate> MOST_URGENT_FIRST =
      Comparator.comparing(EntryVmSlotState.Candidate::urgency)
          .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs);

  private static final Comparator<EntryVmSlotState.Candidate> LEAST_URGENT_FIRST =
      Comparator.comparing(EntryVmSlotState.Candidate::urgency)
          .reversed()
          .thenComparingLong(EntryVmSlotState.Candidate::waitingSinceNs);

  private final Map<ServiceId, Long> granted = new HashMap<>();

  @Override
  public Optional<EntryVmSlotState.Candidate> next(
      ServiceId service,
      Collection<EntryVmSlotState.Candidate> candidates,
      SlotUsageTotals totals,
      int slotCount) {
    Optional<EntryVmSlotState.Candidate> first = candidates.stream().min(MOST_URGENT_FIRST);
    boolean isLessUrgentTurn =
        granted.getOrDefault(service, 0L) % LESS_URGENT_INTERVAL == LESS_URGENT_INTERVAL - 1;
    if (!isLessUrgentTurn || first.isEmpty()) {
      return first;
    }
    return findLessUrgent(
            LESS_URGENT_MAX_RATIO * slotCount, totals, candidates, first.get().urgency())
        .or(() -> first);
  }

  @Override
  public void granted(ServiceId service, EntryVmSlotState.Candidate candidate) {
    granted.merge(service, 1L, Long::sum);
  }

  /**
   * Returns a candidate with the least urgent route rank among those that have the customer rank
   * and lateness of the first and whose kind uses few slots.
   */
  private Optional<EntryVmSlotState.Candidate> findLessUrgent(
      double lessUrgentMaxSlots,
      SlotUsageTotals totals,
      Collection<EntryVmSlotState.Candidate> candidates,
      Urgency first) {
    return candidates.stream()
        .filter(each -> each.urgency().customerRank() == first.customerRank())
        .filter(each -> each.urgency().late() == first.late())
        .filter(each -> totals.usedByKind(each.urgency().routeRank()) < lessUrgentMaxSlots)
        .min(LEAST_URGENT_FIRST);
  }
}
