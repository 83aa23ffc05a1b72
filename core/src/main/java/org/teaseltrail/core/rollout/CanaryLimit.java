package org.teaseltrail.core.rollout;

/**
 * Limit of the number of requests that a target version receives between the order and the
 * deadline, since it may be faulty.
 *
 * @param share fraction of the requests that reach the service
 * @param slack number of requests allowed in addition
 */
public record CanaryLimit(double share, double slack) {

  /** The limit that the requirements set. */
  public static final CanaryLimit DEFAULT = new CanaryLimit(0.1, 50);

  /** Fraction of the share that is used; the rest covers counts that are lost when a VM crashes. */
  private static final double USED_SHARE = 0.9;

  /**
   * Fraction of the slack that is used; the rest covers requests in flight when processes crash.
   */
  private static final double USED_SLACK = 0.7;

  /**
   * Returns the maximum number of requests that the target version may receive.
   *
   * @param reached number of requests known to have reached the service since the order
   * @return the maximum
   */
  public long allowedRequests(long reached) {
    return (long) (USED_SHARE * share * reached + USED_SLACK * slack);
  }

  /** Returns the long-term fraction of the requests that go to the target version. */
  public double effectiveShare() {
    return USED_SHARE * share;
  }
}
