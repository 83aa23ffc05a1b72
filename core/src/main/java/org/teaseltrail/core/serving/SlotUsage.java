package org.teaseltrail.core.serving;

import org.teaseltrail.core.id.ServiceId;

/**
 * Number of slots of a service that the requests of one route rank occupy, as reported by an entry
 * VM.
 *
 * @param service the service
 * @param routeRank rank of the requests' routes, 0 the highest
 * @param places requests in flight at the service's upstreams, each of which occupies one slot
 */
public record SlotUsage(ServiceId service, int routeRank, int places) {}
