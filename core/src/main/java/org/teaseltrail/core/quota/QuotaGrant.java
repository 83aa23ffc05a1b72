package org.teaseltrail.core.quota;

import org.teaseltrail.core.id.CustomerId;

/**
 * Allowance from one customer's quota that the leader grants to an entry VM. Amounts are requests
 * or tokens, depending on the quota's unit.
 *
 * @param customer the customer
 * @param allowance amount that the VM may use after the sync to which this replies
 * @param usedElsewhere amount used at the other VMs within the window
 * @param heldElsewhere amount counted for the other VMs: their use and their allowances
 * @param heldByEnded amount counted for VM incarnations that have ended
 * @param endedForMs time in milliseconds after which none of {@code heldByEnded} counts any more
 * @param exhaustedForMs time in milliseconds until there is quota for what waits at all VMs, if the
 *     customer asks for more than its quota's rate and this VM's allowance is short because of it;
 *     otherwise 0
 */
public record QuotaGrant(
    CustomerId customer,
    double allowance,
    double usedElsewhere,
    double heldElsewhere,
    double heldByEnded,
    long endedForMs,
    long exhaustedForMs) {}
