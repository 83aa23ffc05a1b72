package org.teaseltrail.core.quota;

import org.teaseltrail.core.id.CustomerId;

/**
 * Is what an entry VM tells the leader of one customer's quota. Amounts are requests or tokens, by
 * the quota's unit.
 *
 * @param customer the customer
 * @param used what was used there within the window
 * @param takenEver all that this life of the VM has taken
 * @param allowance what it may take yet
 * @param demandPerSecond what is asked for there in a second
 * @param wanted what requests wait for that the allowance is too small for
 * @param heldElsewhere what the last leader heard counted for the other VMs, as in the grant; 0
 *     once that is too old to matter
 * @param heldByEnded the same for ended lives of VMs
 * @param endedForMs the same for how long that counts on
 */
public record QuotaReport(
    CustomerId customer,
    double used,
    double takenEver,
    double allowance,
    double demandPerSecond,
    double wanted,
    double heldElsewhere,
    double heldByEnded,
    long endedForMs) {

  /**
   * Returns what may be used at the VM within the window, as far as it knows.
   *
   * @return the sum of what was used and what may be taken
   */
  public double held() {
    return used + allowance;
  }
}
