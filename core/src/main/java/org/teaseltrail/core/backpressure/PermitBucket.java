package org.teaseltrail.core.backpressure;

/**
 * Token bucket that issues send permits for one rate-limited upstream, shared by all entry VMs.
 *
 * <p>The bucket starts empty, so that a new leader adds nothing to the permits that the previous
 * leader issued.
 */
public final class PermitBucket {

  private static final double NS_PER_S = 1e9;

  /** Time for which unused permits accumulate. */
  private static final double BURST_S = 0.25;

  /**
   * Minimum rate of permits per second, whatever the limit is. Otherwise an upstream with a limit
   * of zero would receive no requests, and since only an answer can show that a limit was lifted,
   * it would remain without requests forever.
   */
  private static final double MIN_PER_S = 0.25;

  private double permits;
  private long refilledNs;

  /**
   * Creates a bucket without permits.
   *
   * @param nowNs current time
   */
  public PermitBucket(long nowNs) {
    refilledNs = nowNs;
  }

  /**
   * Acquires permits.
   *
   * @param limit the upstream's current limit
   * @param wanted maximum number of permits
   * @param nowNs current time
   * @return the number of acquired permits, 0 if none is available
   */
  public int acquire(RateLimit limit, int wanted, long nowNs) {
    refill(limit, nowNs);
    int acquired = (int) Math.min(wanted, Math.floor(permits));
    permits -= acquired;
    return acquired;
  }

  private void refill(RateLimit limit, long nowNs) {
    double perSecond = Math.max(MIN_PER_S, limit.perSecond());
    double capacity = Math.max(1, perSecond * BURST_S);
    permits = Math.min(capacity, permits + perSecond * (nowNs - refilledNs) / NS_PER_S);
    refilledNs = nowNs;
  }
}
