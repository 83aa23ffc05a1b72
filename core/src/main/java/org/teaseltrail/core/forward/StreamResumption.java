package org.teaseltrail.core.forward;

import java.util.Optional;

/**
 * Where a request resumes a stream that an earlier attempt of its caller has begun.
 *
 * @param begunBy the caller's id of the attempt that brought the first event; empty if the request
 *     doesn't name it
 * @param lastEventId id of the last event that the caller has received, empty if it doesn't name it
 */
public record StreamResumption(Optional<String> begunBy, Optional<String> lastEventId) {}
