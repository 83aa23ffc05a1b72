package org.teaseltrail.core.forward;

/**
 * How an entry VM uses the slots that the leader dealt to it.
 *
 * @param dealt number of slots dealt to it at present
 * @param used number of these that its requests use
 * @param byGrant number of requests so far that used a slot which the leader granted instead
 */
public record DealtSlotUsage(int dealt, int used, long byGrant) {}
