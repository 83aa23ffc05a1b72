package org.teaseltrail.core.rollout;

/**
 * Is how many requests a version that may be bad gets at most between the order and the deadline.
 *
 * @param share part of the requests that reach the service
 * @param slack requests besides
 */
public record CanaryLimit(double share, double slack) {

  /** The users' bounds. */
  public static final CanaryLimit DEFAULT = new CanaryLimit(0.1, 50);

  /** Part of the share that is used; a VM's last count is lost with it. */
  private static final double USED_SHARE = 0.9;

  /** Part of the slack that is used; the rest is for what is on its way when VMs and leader end. */
  private static final double USED_SLACK = 0.7;

  /**
   * Returns how many requests the ordered version may get.
   *
   * @param reached requests known to have reached the service since the order
   * @return the bound
   */
  public long allowedRequests(long reached) {
    return (long) (USED_SHARE * share * reached + USED_SLACK * slack);
  }

  /** Returns the part of the requests that goes to the ordered version over a longer time. */
  public double effectiveShare() {
    return USED_SHARE * share;
  }
}
