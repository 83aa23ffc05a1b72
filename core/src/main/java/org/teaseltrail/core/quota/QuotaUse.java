package org.teaseltrail.core.serving;

import java.util.Map;
import org.teaseltrail.core.id.CustomerId;

/**
 * Is what an entry VM tells the leader of its customers' quotas; amounts are in each quota's unit.
 *
 * @param used what was used there within the window
 * @param held what may be used there within the window by what the VM was last allowed: what was
 *     used and what is left of its allowance
 * @param heldElsewhere what the leader that the VM last heard counted for all others; empty once
 *     that is too old to matter
 * @param demandPerSecond what is asked for there in a second
 */
public record QuotaReport(
    Map<CustomerId, Double> used,
    Map<CustomerId, Double> held,
    Map<CustomerId, Double> heldElsewhere,
    Map<CustomerId, Double> demandPerSecond) {

  /** Copies the maps. */
  public QuotaReport {
    used = Map.copyOf(used);
    held = Map.copyOf(held);
    heldElsewhere = Map.copyOf(heldElsewhere);
    demandPerSecond = Map.copyOf(demandPerSecond);
  }
}
