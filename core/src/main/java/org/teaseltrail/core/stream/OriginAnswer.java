package org.teaseltrail.core.stream;

import java.util.Optional;

/**
 * A member's answer to a question for the origin of a stream.
 *
 * @param number the number in the question
 * @param origin the origin, empty if the member doesn't know it
 */
public record OriginAnswer(long number, Optional<StreamOrigin> origin) {}
