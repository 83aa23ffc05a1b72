package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.IdempotencyKey;

/**
 * A caller's request after validation of its syntax.
 *
 * @param keyHash SHA-256 of the API key in lower-case hexadecimal, if the caller sent one
 * @param target the requested model or service
 * @param idempotent whether the caller allows the request to run more than once
 * @param idempotencyKey the key under which the request runs at most once, if the caller sent one
 * @param bodyDigest SHA-256 of the body in lower-case hexadecimal
 * @param deadlineMs time until the caller's deadline in milliseconds; zero if there is none
 * @param lastSequence sequence of the last frame of the answer that the caller has received, if any
 */
public record CallerCall(
    Optional<String> keyHash,
    CallTarget target,
    boolean idempotent,
    Optional<IdempotencyKey> idempotencyKey,
    String bodyDigest,
    long deadlineMs,
    Optional<Long> lastSequence) {}
