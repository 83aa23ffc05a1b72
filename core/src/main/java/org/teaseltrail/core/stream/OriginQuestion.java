package org.teaseltrail.core.stream;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/**
 * A question for the origin of a stream that a caller takes up.
 *
 * @param number the request's number at the entry VM that asks
 * @param key the stream, if the request names one
 * @param service the service that its route leads to, if it is one alone
 */
public record OriginQuestion(long number, Optional<StreamKey> key, Optional<ServiceId> service) {}
