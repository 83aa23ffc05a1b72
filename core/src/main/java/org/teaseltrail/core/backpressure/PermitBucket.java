package org.teaseltrail.core.backpressure;

/**
 * Gives out, for one upstream with a limit, the requests that all entry VMs together may send.
 *
 * <p>It begins empty, so that a leader which begins adds nothing to what the one before gave out.
 */
public final class PermitBucket {

  private static final double NS_PER_S = 1e9;

  /** Time for which permits that nobody asked for gather. */
  private static final double BURST_S = 0.25;

  /**
   * Permits a second whatever the limit. Guards against an upstream that takes nothing for a while
   * and is never asked again: only an answer tells that its need is over.
   */
  private static final double LEAST_PER_S = 0.25;

  private double permits;
  private long filledNs;

  /**
   * Begins without a permit.
   *
   * @param nowNs time
   */
  public PermitBucket(long nowNs) {
    filledNs = nowNs;
  }

  /**
   * Gives permits out.
   *
   * @param limit the upstream's limit
   * @param wanted permits that are of use at most
   * @param nowNs time
   * @return permits given, 0 if there is none yet
   */
  public int acquire(RateLimit limit, int wanted, long nowNs) {
    fill(limit, nowNs);
    int taken = (int) Math.min(wanted, Math.floor(permits));
    permits -= taken;
    return taken;
  }

  private void fill(RateLimit limit, long nowNs) {
    double perSecond = Math.max(LEAST_PER_S, limit.perSecond());
    double most = Math.max(1, perSecond * BURST_S);
    permits = Math.min(most, permits + perSecond * (nowNs - filledNs) / NS_PER_S);
    filledNs = nowNs;
  }
}
