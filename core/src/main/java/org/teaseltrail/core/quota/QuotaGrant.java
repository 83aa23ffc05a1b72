package org.teaseltrail.core.quota;

import org.teaseltrail.core.id.CustomerId;

/**
 * Is what the leader allows an entry VM of one customer's quota. Amounts are requests or tokens, by
 * the quota's unit.
 *
 * @param customer the customer
 * @param allowance what may be taken at the VM after the sync that is answered
 * @param usedElsewhere what was used within the window at the other VMs
 * @param heldElsewhere what is counted for the other VMs: what they used and what they may take
 * @param heldByEnded what is counted for ended lives of VMs
 * @param endedForMs how long the last of that counts on, in milliseconds
 */
public record QuotaGrant(
    CustomerId customer,
    double allowance,
    double usedElsewhere,
    double heldElsewhere,
    double heldByEnded,
    long endedForMs) {}
