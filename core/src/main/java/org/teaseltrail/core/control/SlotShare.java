package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;

/**
 * What one customer's requests of one kind have of a service's slots, over all entry VMs.
 *
 * @param customer the customer, if the requests have one
 * @param routeRank rank of the requests' routes, 0 the highest
 * @param inUse slots in use
 * @param granted slots granted since the report before
 * @param waiting requests that wait for a slot
 */
public record SlotShare(
    Optional<CustomerId> customer, int routeRank, int inUse, int granted, int waiting) {}
