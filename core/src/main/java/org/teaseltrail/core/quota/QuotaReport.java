package org.teaseltrail.core.quota;

import org.teaseltrail.core.id.CustomerId;

/**
 * Report of an entry VM to the leader about one customer's quota. Amounts are requests or tokens,
 * depending on the quota's unit.
 *
 * @param customer the customer
 * @param used amount used at the VM within the window
 * @param takenEver total amount used by this incarnation of the VM
 * @param allowance remaining allowance
 * @param demandPerSecond amount requested at the VM per second
 * @param wanted amount that waiting requests need and the allowance doesn't cover
 * @param heldElsewhere amount that the last leader counted for the other VMs, as stated in its
 *     grant; 0 once that is too old to matter
 * @param heldByEnded amount that the last leader counted for VM incarnations that have ended, as
 *     stated in its grant
 * @param endedForMs remaining time in milliseconds for which any of {@code heldByEnded} counts
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
   * Returns the maximum amount that the VM may use within the window, as far as it knows.
   *
   * @return the sum of the used amount and the remaining allowance
   */
  public double held() {
    return used + allowance;
  }
}
