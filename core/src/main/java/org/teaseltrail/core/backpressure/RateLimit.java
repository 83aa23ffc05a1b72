package org.teaseltrail.core.backpressure;

/**
 * Maximum rate at which an upstream accepts requests, counted over all entry VMs.
 *
 * @param perSecond requests per second; infinite if there is no limit
 */
public record RateLimit(double perSecond) {

  /** Limit of an upstream that has announced none. */
  public static final RateLimit UNLIMITED = new RateLimit(Double.POSITIVE_INFINITY);

  /**
   * Checks the rate.
   *
   * @throws IllegalArgumentException if the rate is negative or not a number
   */
  public RateLimit {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException("rate limit is negative or not a number: " + perSecond);
    }
  }

  /**
   * Returns whether there is a limit.
   *
   * @return false for {@link #UNLIMITED}
   */
  public boolean isLimited() {
    return !Double.isInfinite(perSecond);
  }
}
