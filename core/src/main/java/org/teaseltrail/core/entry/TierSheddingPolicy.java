package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.Millis;

/**
 * Policy for shedding waiting requests while no scheduler is reachable: tiers are shed from the
 * lowest up, at fixed times after the last confirmed lease.
 *
 * <p>The fixed times keep the VMs of a region consistent when it loses its schedulers: otherwise
 * one VM could reject a higher tier while another still keeps a lower one. All VMs received the
 * last lease within one hello interval, which is small compared with the step between tiers.
 */
final class TierSheddingPolicy {

  private final long delayNs;
  private final long stepNs;

  TierSheddingPolicy(EntrySettings settings) {
    this.delayNs = Millis.toNanos(settings.sheddingDelayMs());
    this.stepNs = Millis.toNanos(settings.sheddingStepMs());
  }

  /**
   * Returns the rank of the lowest tier that is kept; tiers with a greater rank are shed.
   *
   * @param sinceLeaseNs time since the last confirmed lease
   * @param lowestRank the greatest configured rank
   * @return a rank; zero if all tiers are shed
   */
  int lowestKeptRank(long sinceLeaseNs, int lowestRank) {
    if (sinceLeaseNs < delayNs) {
      return Integer.MAX_VALUE;
    }
    long steps = 1 + (sinceLeaseNs - delayNs) / stepNs;
    return (int) Math.max(0, lowestRank - steps);
  }

  /** Returns the time, counted from the last confirmed lease, at which the next tier is shed. */
  long nextStepNs(long sinceLeaseNs) {
    if (sinceLeaseNs < delayNs) {
      return delayNs;
    }
    return delayNs + (1 + (sinceLeaseNs - delayNs) / stepNs) * stepNs;
  }
}
