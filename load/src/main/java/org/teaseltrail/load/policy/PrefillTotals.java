package org.teaseltrail.load.policy;

import java.util.Map;

/**
 * Prefill totals of a run.
 *
 * @param processedTokens prompt tokens that engines processed
 * @param cachedTokens prompt tokens found in the engines' caches
 * @param perfectCachedTokens prompt tokens that an ideal cache, shared by all engines, would have
 *     contained
 * @param wastedTokens wasted tokens by cause
 */
public record PrefillTotals(
    long processedTokens,
    long cachedTokens,
    long perfectCachedTokens,
    Map<PrefillWasteCause, Long> wastedTokens) {

  /** Returns the fraction of processed tokens that was wasted. */
  public double wastedFraction() {
    long wasted = wastedTokens.values().stream().mapToLong(Long::longValue).sum();
    return fraction(wasted, processedTokens);
  }

  /** Returns the fraction of processed tokens that was wasted for the given cause. */
  public double wastedFraction(PrefillWasteCause cause) {
    return fraction(wastedTokens.getOrDefault(cause, 0L), processedTokens);
  }

  /** Returns the ratio of the cache hits to those of the ideal cache. */
  public double hitRatioToIdeal() {
    return perfectCachedTokens == 0 ? 1 : fraction(cachedTokens, perfectCachedTokens);
  }

  private static double fraction(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
