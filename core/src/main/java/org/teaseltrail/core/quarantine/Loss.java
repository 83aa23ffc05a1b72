package org.teaseltrail.core.quarantine;

import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/**
 * Tells that an upstream's connection ended while it had a request.
 *
 * @param request what was asked for
 * @param customer whose it was, if that is known
 * @param upstream which life of an upstream had it
 * @param agoMs how long ago the connection ended, in milliseconds
 */
public record Loss(
    Fingerprint request, Optional<CustomerId> customer, UpstreamIncarnation upstream, long agoMs) {}
