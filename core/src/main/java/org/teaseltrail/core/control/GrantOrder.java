package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/** The order in which waiting requests are granted slots. */
interface GrantOrder {

  /**
   * Returns the candidate that gets the next slot.
   *
   * @param service the service
   * @param candidates for each urgency and customer, the request that has waited longest at any VM,
   *     by VM id; where an order finds two equal, it takes the first
   * @param totals the slots in use
   * @param slotCount number of slots of the service's ready upstreams
   * @return one of the candidates, empty if there are none
   */
  Optional<EntryVmSlotState.Candidate> next(
      ServiceId service,
      Collection<EntryVmSlotState.Candidate> candidates,
      SlotUsageTotals totals,
      int slotCount);

  /** Records that a candidate was granted a slot. */
  void granted(ServiceId service, EntryVmSlotState.Candidate candidate);
}
