package org.teaseltrail.core.serving;

/**
 * Key by which a caller that comes back after a refusal is recognized at any VM: a 64-bit hash of
 * the customer, the path, and the last part of the prompt.
 *
 * @param value the hash
 */
public record ReturnKey(long value) {}
