package org.teaseltrail.core.rollout;

/**
 * Is what is known for sure of the requests of a rollout, whichever VMs and leaders have ended.
 *
 * @param lent requests that the ordered version may have got, at most
 * @param reached requests that have reached the service since the order, at least
 */
public record ExposureCounters(long lent, long reached) {

  /** Nothing yet. */
  public static final ExposureCounters NONE = new ExposureCounters(0, 0);

  ExposureCounters max(ExposureCounters other) {
    return new ExposureCounters(Math.max(lent, other.lent), Math.max(reached, other.reached));
  }
}
