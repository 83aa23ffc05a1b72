package org.teaseltrail.core.control;

/**
 * Amounts of a customer's quota that can be granted. Amounts are requests or tokens, depending on
 * the quota's unit.
 *
 * @param grantable maximum that all VMs together may hold within the window
 * @param perSecond average amount that they may use per second
 * @param burstCapacity amount that they may use beyond that in a burst
 * @param reserved amount reserved for usage that a new leader can't know
 */
record QuotaLimit(double grantable, double perSecond, double burstCapacity, double reserved) {}
