package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.IdempotencyKey;

/**
 * Is what a caller asks for, checked for form.
 *
 * @param keyHash SHA-256 of the API key in lower-case hexadecimal, if one came
 * @param target what is asked for
 * @param idempotent whether the caller lets it run more than once
 * @param idempotencyKey the key under which it runs at most once, if one came
 * @param bodyDigest SHA-256 of the body in lower-case hexadecimal
 * @param deadlineMs time until the caller's deadline; zero if it has none
 * @param lastSequence the last frame of the answer that the caller has, if it has some
 */
public record CallerCall(
    Optional<String> keyHash,
    CallTarget target,
    boolean idempotent,
    Optional<IdempotencyKey> idempotencyKey,
    String bodyDigest,
    long deadlineMs,
    Optional<Long> lastSequence) {}
