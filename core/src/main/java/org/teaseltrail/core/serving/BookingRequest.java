package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;

/**
 * Request of a VM to book a slot for a caller's return. Example: key 0x5f1c, service "pool",
 * urgency (1, false, 0), customer "c7", 300 ms to 4,000 ms from now, 1,400 ms of a slot.
 *
 * @param key recognizes the caller
 * @param service the service
 * @param urgency urgency of the refused request
 * @param customer its customer, if it has one
 * @param earliestMs earliest useful return, in milliseconds from now
 * @param latestMs latest return that the caller honours, in milliseconds from now
 * @param slotMs time for which the request is expected to occupy a slot, in milliseconds
 */
public record BookingRequest(
    ReturnKey key,
    ServiceId service,
    Urgency urgency,
    Optional<CustomerId> customer,
    long earliestMs,
    long latestMs,
    long slotMs) {}
