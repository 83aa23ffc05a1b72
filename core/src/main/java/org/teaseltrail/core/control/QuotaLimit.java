package org.teaseltrail.core.control;

/**
 * Is how much of a customer's quota there is to hand out. Amounts are requests or tokens, by the
 * quota's unit.
 *
 * @param grantable what all VMs together may hold within the window
 * @param perSecond what they may use in each second, on average
 * @param burstCapacity what they may use beyond that at once
 * @param reserved what is kept back for what a new leader can't know
 */
record QuotaLimit(double grantable, double perSecond, double burstCapacity, double reserved) {}
