package org.teaseltrail.core.serving;

import org.teaseltrail.core.id.ServiceId;

/**
 * Is how many places of a service the requests of one kind hold at an entry VM.
 *
 * @param service the service
 * @param routeRank rank of their routes, 0 the highest
 * @param places requests at the service's upstreams
 */
public record SlotUsage(ServiceId service, int routeRank, int places) {}
