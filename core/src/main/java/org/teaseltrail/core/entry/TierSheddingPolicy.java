package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.Millis;

/**
 * Says which tiers are given up while no scheduler is in reach: from the lowest up, at fixed times
 * counted from the last lease seen.
 *
 * <p>Guards against VMs that drop different tiers when a region loses its schedulers, which would
 * show as a higher tier refused by one VM while another keeps a lower one. All VMs saw the same
 * last lease within one hello interval, which is small against the step between tiers.
 */
final class TierSheddingPolicy {

  private final long holdNs;
  private final long stepNs;

  TierSheddingPolicy(EntrySettings settings) {
    this.holdNs = Millis.toNanos(settings.sheddingDelayMs());
    this.stepNs = Millis.toNanos(settings.sheddingStepMs());
  }

  /**
   * Returns the lowest tier's rank that is kept; ranks above it are given up.
   *
   * @param sinceLeaseNs time since the last lease seen
   * @param lowestRank the greatest rank that is configured
   * @return a rank; zero if all are given up
   */
  int lowestKeptRank(long sinceLeaseNs, int lowestRank) {
    if (sinceLeaseNs < holdNs) {
      return Integer.MAX_VALUE;
    }
    long steps = 1 + (sinceLeaseNs - holdNs) / stepNs;
    return (int) Math.max(0, lowestRank - steps);
  }

  /** Returns the time since the last lease at which the next tier is given up. */
  long nextStepNs(long sinceLeaseNs) {
    if (sinceLeaseNs < holdNs) {
      return holdNs;
    }
    return holdNs + (1 + (sinceLeaseNs - holdNs) / stepNs) * stepNs;
  }
}
