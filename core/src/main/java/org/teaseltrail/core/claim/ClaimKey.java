package org.teaseltrail.core.claim;

import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.IdempotencyKey;

/**
 * Names what a claim is on: keys of different customers never meet.
 *
 * @param customer the customer
 * @param key the customer's key
 */
public record ClaimKey(CustomerId customer, IdempotencyKey key) {}
