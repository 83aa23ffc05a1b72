package org.teaseltrail.core.rollout;

/**
 * Bounds on the request counts of a rollout that hold regardless of crashes of VMs and leaders.
 *
 * @param lent upper bound of the requests that the target version has received
 * @param reached lower bound of the requests that have reached the service since the order
 */
public record ExposureCounters(long lent, long reached) {

  /** The counters at the start of a rollout. */
  public static final ExposureCounters NONE = new ExposureCounters(0, 0);

  ExposureCounters max(ExposureCounters other) {
    return new ExposureCounters(Math.max(lent, other.lent), Math.max(reached, other.reached));
  }
}
