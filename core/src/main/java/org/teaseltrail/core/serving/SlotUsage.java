package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;

/**
 * Number of slots of a service that the requests of one route rank and customer occupy, as reported
 * by an entry VM.
 *
 * @param service the service
 * @param routeRank rank of the requests' routes, 0 the highest
 * @param customer the requests' customer; empty if the VM doesn't count by customer, or for
 *     requests without one
 * @param places requests in flight at the service's upstreams, each of which occupies one slot
 */
public record SlotUsage(
    ServiceId service, int routeRank, Optional<CustomerId> customer, int places) {}
