package org.teaseltrail.forward;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what an upstream is told beside the caller's request.
 *
 * @param upstream the life of the upstream that is meant
 * @param customer whose request it is
 * @param leftMs time that the upstream may take, in milliseconds
 * @param lastEventId the last event that the caller has got of an earlier attempt
 */
public record CallHeaders(
    UpstreamId upstream,
    Optional<CustomerId> customer,
    long leftMs,
    Optional<String> lastEventId) {}
