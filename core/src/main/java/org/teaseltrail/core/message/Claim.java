package org.teaseltrail.core.message;

import org.teaseltrail.core.id.IdempotencyKey;

/**
 * Idempotency claim: at most one request is executed under the key.
 *
 * @param key the idempotency key, unique per customer
 * @param bodyDigest SHA-256 of the request body, in lower-case hexadecimal
 * @param nonIdempotent whether the request is marked as one that must not be executed twice
 */
public record Claim(IdempotencyKey key, String bodyDigest, boolean nonIdempotent) {}
