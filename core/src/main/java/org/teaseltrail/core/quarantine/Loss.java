package org.teaseltrail.core.quarantine;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Loss of an upstream during a request: the connection closed before the answer was complete.
 *
 * @param request fingerprint of the request
 * @param customer the customer that sent it, if known
 * @param upstream the incarnation of the upstream that was processing it
 * @param agoMs time since the connection closed, in milliseconds
 */
public record Loss(
    Fingerprint request, Optional<CustomerId> customer, UpstreamIncarnation upstream, long agoMs) {}
