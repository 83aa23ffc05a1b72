package org.teaseltrail.core.share;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides slots by weighted max-min fairness: claimants that ask for less than an equal part get
 * all that they ask for, and the others divide the rest.
 *
 * <p>The division is built slot by slot: the next slot always goes to the claimant with the lowest
 * {@link #level} among those that could use it. Whoever grants one slot at a time by that rule gets
 * the same division without knowing any demand in advance.
 */
public final class MaxMinShares {

  /** Weight of a claimant unless another is set. */
  public static final double DEFAULT_WEIGHT = 1;

  private MaxMinShares() {}

  /**
   * Returns how much a claimant has in relation to what it is due; the lowest is furthest below its
   * part.
   *
   * @param slots slots that it occupies
   * @param weight its weight
   * @return slots for each unit of weight
   */
  public static double level(long slots, double weight) {
    return slots / weight;
  }

  /**
   * Divides slots between claimants.
   *
   * @param <K> type of the claimants
   * @param slots number of slots
   * @param claims one claim of each claimant; of equals, the earlier one is served first
   * @return number of slots of each claimant, in the order of the claims
   */
  public static <K> Map<K, Integer> divide(int slots, List<Claim<K>> claims) {
    Map<K, Integer> parts = new LinkedHashMap<>();
    claims.forEach(claim -> parts.put(claim.claimant(), 0));
    Optional<Claim<K>> next = furthestBelow(claims, parts);
    for (int left = slots; left > 0 && next.isPresent(); left--) {
      parts.merge(next.get().claimant(), 1, Integer::sum);
      next = furthestBelow(claims, parts);
    }
    return parts;
  }

  private static <K> Optional<Claim<K>> furthestBelow(
      List<Claim<K>> claims, Map<K, Integer> parts) {
    return claims.stream()
        .filter(claim -> parts.get(claim.claimant()) < claim.demand())
        .min(
            Comparator.comparingDouble(
                claim -> level(parts.get(claim.claimant()), claim.weight())));
  }
}
