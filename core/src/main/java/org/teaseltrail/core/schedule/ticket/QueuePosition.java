package org.teaseltrail.core.schedule.ticket;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * The position of a ticket in the queue, according to the policy. With a part of the policy
 * disabled, it differs from the ticket; for example, all tickets are in one tier.
 *
 * @param tier the tier in which it waits
 * @param customer the customer that it is charged to
 * @param weight that customer's weight
 * @param orderNs its sort key among that customer's tickets, lowest first
 */
public record QueuePosition(Tier tier, CustomerId customer, int weight, long orderNs) {}
