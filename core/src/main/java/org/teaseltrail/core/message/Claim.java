package org.teaseltrail.core.message;

import org.teaseltrail.core.id.IdempotencyKey;

/**
 * Asks that a request run at most once under a key.
 *
 * @param key the customer's key
 * @param bodyDigest SHA-256 of the request's body, in lower-case hexadecimal
 * @param nonIdempotent whether the caller marked the request as one that must not run twice
 */
public record Claim(IdempotencyKey key, String bodyDigest, boolean nonIdempotent) {}
