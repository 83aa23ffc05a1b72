package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;

/** Grants slots by shares at services where these apply, and by urgency at the others. */
final class ServiceGrantOrder implements GrantOrder {

  private final Predicate<ServiceId> sharesSlots;
  private final GrantOrder byShares = new SlotShareOrder();
  private final GrantOrder byUrgency = new UrgencyOrder();

  /**
   * Creates the order.
   *
   * @param sharesSlots whether slots of a service are shared between customers and kinds
   */
  ServiceGrantOrder(Predicate<ServiceId> sharesSlots) {
    this.sharesSlots = sharesSlots;
  }

  @Override
  public Optional<EntryVmSlotState.Candidate> next(
      ServiceId service,
      Collection<EntryVmSlotState.Candidate> candidates,
      SlotUsageTotals totals,
      int slotCount) {
    return orderOf(service).next(service, candidates, totals, slotCount);
  }

  @Override
  public void granted(ServiceId service, EntryVmSlotState.Candidate candidate) {
    orderOf(service).granted(service, candidate);
  }

  private GrantOrder orderOf(ServiceId service) {
    return sharesSlots.test(service) ? byShares : byUrgency;
  }
}
