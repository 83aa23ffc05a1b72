package org.teaseltrail.core.admission;

/**
 * How long a request may still wait for a slot.
 *
 * @param onTimeMs time within which it must get a slot to be answered on time, in milliseconds; 0
 *     or less if it is late
 * @param queueMs time for which it may wait at most, in milliseconds
 */
public record WaitLimits(long onTimeMs, long queueMs) {

  /**
   * Time that a newcomer's expected wait must leave until it would be late, and by which that of a
   * queued request may exceed it: half of the time between two forecasts. A request that becomes
   * late in the queue yields to all others and is held in vain.
   */
  private static final long ON_TIME_MARGIN_MS = 50;

  /**
   * Fraction of its time in the queue that the expected wait of a late newcomer may take: whether
   * late requests are served depends on how many others come.
   */
  private static final double LATE_FRACTION = 0.75;

  /**
   * Returns whether a request that isn't queued yet should be.
   *
   * @param onTimeWaitMs expected wait while it can be answered on time
   * @param lateWaitMs expected wait of late requests
   * @return whether it will get a slot within the limits, with a margin
   */
  public boolean admit(long onTimeWaitMs, long lateWaitMs) {
    return isWithin(ON_TIME_MARGIN_MS, LATE_FRACTION, onTimeWaitMs, lateWaitMs);
  }

  /**
   * Returns whether a queued request should stay queued.
   *
   * @param onTimeWaitMs expected wait while it can be answered on time
   * @param lateWaitMs expected wait of late requests
   * @return whether it may get a slot within the limits
   */
  public boolean keep(long onTimeWaitMs, long lateWaitMs) {
    return isWithin(-ON_TIME_MARGIN_MS, 1, onTimeWaitMs, lateWaitMs);
  }

  private boolean isWithin(
      long onTimeMarginMs, double lateFraction, long onTimeWaitMs, long lateWaitMs) {
    boolean onTime = onTimeMs > 0 && onTimeWaitMs <= onTimeMs - onTimeMarginMs;
    return onTime || lateWaitMs <= lateFraction * queueMs;
  }
}
