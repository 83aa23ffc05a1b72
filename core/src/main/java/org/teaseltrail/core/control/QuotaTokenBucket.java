package org.teaseltrail.core.control;

/**
 * Token bucket that limits what all VMs together may start to use of one customer's quota. It fills
 * at the quota's rate up to the quota's burst.
 *
 * <p>Without it, a burst of requests could use up the quota in its first second, and callers within
 * the rate would be refused for the rest of the window. With the bucket each second of a burst gets
 * the quota's rate.
 */
final class QuotaTokenBucket {

  private static final double NS_PER_S = 1e9;

  private double level;
  private long filledNs;

  /** Creates a bucket with an initial level. */
  QuotaTokenBucket(double level, long nowNs) {
    this.level = level;
    filledNs = nowNs;
  }

  /**
   * Removes an amount that was used. The level may become negative, if more was used than
   * available.
   */
  void used(double amount) {
    level -= amount;
  }

  /**
   * Refills the bucket for the time since the last call and returns the amount that may be used
   * now.
   */
  double level(double perSecond, double capacity, long nowNs) {
    level = Math.min(capacity, level + perSecond * (nowNs - filledNs) / NS_PER_S);
    filledNs = nowNs;
    return Math.max(0, level);
  }
}
