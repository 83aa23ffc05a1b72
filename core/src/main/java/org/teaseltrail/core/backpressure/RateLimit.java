package org.teaseltrail.core.backpressure;

/**
 * Is how many requests an upstream takes from all entry VMs together.
 *
 * @param perSecond requests a second; infinite if it names no limit
 */
public record RateLimit(double perSecond) {

  /** Is said of an upstream that names no limit. */
  public static final RateLimit UNLIMITED = new RateLimit(Double.POSITIVE_INFINITY);

  /**
   * Checks the rate.
   *
   * @throws IllegalArgumentException if it is negative or no number
   */
  public RateLimit {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException("no rate: " + perSecond);
    }
  }

  /**
   * Tells whether there is a limit.
   *
   * @return false for {@link #UNLIMITED}
   */
  public boolean isLimited() {
    return !Double.isInfinite(perSecond);
  }
}
