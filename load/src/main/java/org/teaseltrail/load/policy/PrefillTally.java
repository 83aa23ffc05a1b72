package org.teaseltrail.load.policy;

import java.util.Map;

/**
 * Is the prompt processing of a run.
 *
 * @param processedTokens tokens processed
 * @param cachedTokens tokens that engines' caches saved
 * @param perfectCachedTokens tokens that the perfect cache would have saved
 * @param wastedTokens tokens wasted, by cause
 */
public record PrefillTally(
    long processedTokens,
    long cachedTokens,
    long perfectCachedTokens,
    Map<PrefillWaste, Long> wastedTokens) {

  /** Returns the wasted part of the processed tokens. */
  public double wastedFraction() {
    long wasted = wastedTokens.values().stream().mapToLong(Long::longValue).sum();
    return fraction(wasted, processedTokens);
  }

  /** Returns the part of the processed tokens wasted for one cause. */
  public double wastedFraction(PrefillWaste cause) {
    return fraction(wastedTokens.getOrDefault(cause, 0L), processedTokens);
  }

  /** Returns the cache hits as a part of the perfect cache's. */
  public double hitsOfPerfect() {
    return perfectCachedTokens == 0 ? 1 : fraction(cachedTokens, perfectCachedTokens);
  }

  private static double fraction(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
