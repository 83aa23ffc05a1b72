package org.teaseltrail.core.schedule.limit;

/**
 * Measures the drain rate of a queue: the estimated engine time of the requests that leave it per
 * millisecond while requests wait. Idle time is not counted, since it would make the pool look
 * slow.
 */
public final class DrainRateMeter {

  /** Time constant of the exponential decay, in busy milliseconds; the time of several answers. */
  private static final double DECAY_MS = 10_000;

  /** Weight of the assumed rate, in busy milliseconds. */
  private static final double PRIOR_MS = 1_500;

  private static final double NS_PER_MS = 1e6;

  private double drainedUs;
  private double busyMs;
  private long lastNs;
  private boolean busy;

  /**
   * Advances the meter to the present.
   *
   * @param nowNs monotonic time in nanoseconds
   */
  public void advance(long nowNs) {
    if (busy) {
      double elapsedMs = (nowNs - lastNs) / NS_PER_MS;
      double decay = StrictMath.exp(-elapsedMs / DECAY_MS);
      drainedUs *= decay;
      busyMs = busyMs * decay + elapsedMs;
    }
    lastNs = nowNs;
  }

  /** Records engine time that has left the queue; it counts only if requests have been waiting. */
  public void recordDrained(double engineUs) {
    if (busy) {
      drainedUs += engineUs;
    }
  }

  /** Sets whether requests wait from now on. */
  public void setBusy(boolean nowBusy) {
    busy = nowBusy;
  }

  /**
   * Returns the rate in microseconds of engine time per millisecond.
   *
   * @param priorUsPerMs the rate to assume while there are few measurements
   */
  public double rateUsPerMs(double priorUsPerMs) {
    return (drainedUs + priorUsPerMs * PRIOR_MS) / (busyMs + PRIOR_MS);
  }
}
