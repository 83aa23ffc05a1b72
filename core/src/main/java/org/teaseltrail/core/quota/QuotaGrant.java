package org.teaseltrail.core.serving;

import java.util.Map;
import org.teaseltrail.core.id.CustomerId;

/**
 * Is what the leader allows an entry VM of its customers' quotas; amounts are in each quota's unit.
 *
 * @param usedElsewhere what was used at the other VMs within the window
 * @param allowances what may be taken at this VM after the sync that is answered
 * @param heldElsewhere what is counted for all other VMs: what they used and what they may yet take
 */
public record QuotaGrant(
    Map<CustomerId, Double> usedElsewhere,
    Map<CustomerId, Double> allowances,
    Map<CustomerId, Double> heldElsewhere) {

  /** Allows nothing. */
  public static final QuotaGrant NONE = new QuotaGrant(Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public QuotaGrant {
    usedElsewhere = Map.copyOf(usedElsewhere);
    allowances = Map.copyOf(allowances);
    heldElsewhere = Map.copyOf(heldElsewhere);
  }
}
