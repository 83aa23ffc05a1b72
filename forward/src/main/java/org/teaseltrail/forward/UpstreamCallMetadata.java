package org.teaseltrail.forward;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * The metadata that is sent to an upstream in addition to the caller's request.
 *
 * @param upstream id of the upstream instance that the request is meant for
 * @param customer the customer that the request belongs to, if it is known
 * @param remainingMs time that the upstream may take, in milliseconds
 * @param lastEventId id of the last event that the caller received from an earlier attempt, if any
 */
public record UpstreamCallMetadata(
    UpstreamId upstream,
    Optional<CustomerId> customer,
    long remainingMs,
    Optional<String> lastEventId) {}
