package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * Expected wait for a slot of requests of one urgency and customer. Example: urgency (1, false, 2),
 * customer "c7", 240 ms, 12 ms more if each VM queues one request more.
 *
 * @param urgency the urgency
 * @param customer the customer; empty for all customers of the urgency
 * @param waitMs time from now until a request that begins to wait now gets a slot, in milliseconds
 * @param growthMs time by which the wait grows when each VM queues one more request of this urgency
 *     and customer, in milliseconds
 */
public record ExpectedWait(
    Urgency urgency, Optional<CustomerId> customer, long waitMs, long growthMs) {}
