package org.teaseltrail.core.claim;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.IdempotencyKey;

/**
 * Identifies a claim by an idempotency key within the scope of one customer, so that equal keys of
 * different customers don't conflict.
 *
 * @param customer the customer
 * @param key the customer's idempotency key
 */
public record ClaimKey(CustomerId customer, IdempotencyKey key) {}
