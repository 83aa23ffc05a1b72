package org.teaseltrail.core.share;

/**
 * What one claimant asks of a number of slots.
 *
 * @param <K> type of the claimants
 * @param claimant the claimant
 * @param weight its weight, positive; a claimant of weight 2 is due twice as much as one of weight
 *     1
 * @param demand number of slots that it could use
 */
public record Claim<K>(K claimant, double weight, int demand) {}
