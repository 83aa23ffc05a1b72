package org.teaseltrail.core.schedule.ticket;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Says where in the queue a ticket stands, as the policy sees it. With a part of the policy off, it
 * differs from what the ticket says: all tickets in one tier, say.
 *
 * @param tier the tier it is ordered by
 * @param customer the customer it is charged to
 * @param weight that customer's weight
 * @param orderNs its place among that customer's tickets, earlier first
 */
public record QueuePosition(Tier tier, CustomerId customer, int weight, long orderNs) {}
