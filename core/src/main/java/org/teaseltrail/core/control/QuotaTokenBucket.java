package org.teaseltrail.core.control;

/**
 * Is what all VMs together may begin to use of one customer's quota now: it fills at the quota's
 * rate up to its burst (token bucket).
 *
 * <p>Guards against a quota that is used up in the first second of a rush and gives nothing for the
 * rest of the window: whoever is within the rate is refused then, for as long as the window lasts.
 * With the bucket each second of the rush gets the quota's rate.
 */
final class QuotaTokenBucket {

  private static final double NS_PER_S = 1e9;

  private double level;
  private long filledNs;

  /** Creates one at a level. */
  QuotaTokenBucket(double level, long nowNs) {
    this.level = level;
    filledNs = nowNs;
  }

  /** Takes an amount out that was used; what was used beyond the level is owed. */
  void used(double amount) {
    level -= amount;
  }

  /** Returns what may be used now, after it was filled since the last call. */
  double level(double perSecond, double capacity, long nowNs) {
    level = Math.min(capacity, level + perSecond * (nowNs - filledNs) / NS_PER_S);
    filledNs = nowNs;
    return Math.max(0, level);
  }
}
