package org.teaseltrail.core.schedule.limit;

/**
 * Measures how much estimated engine time leaves the queue in a millisecond while something waits.
 * Idle time does not count: it would make the pool look slow.
 */
public final class DrainRateMeter {

  /** Time over which the measure forgets, in busy milliseconds; several answers' length. */
  private static final double DECAY_MS = 10_000;

  /** Weight of the assumed rate, in busy milliseconds. */
  private static final double PRIOR_MS = 1_500;

  private static final double NS_PER_MS = 1e6;

  private double drainedUs;
  private double busyMs;
  private long lastNs;
  private boolean busy;

  /**
   * Moves the time on.
   *
   * @param nowNs monotonic time in nanoseconds
   */
  public void advance(long nowNs) {
    if (busy) {
      double elapsedMs = (nowNs - lastNs) / NS_PER_MS;
      double keep = Math.exp(-elapsedMs / DECAY_MS);
      drainedUs *= keep;
      busyMs = busyMs * keep + elapsedMs;
    }
    lastNs = nowNs;
  }

  /** Notes that engine time has left the queue; counts only if something has been waiting. */
  public void recordDrained(double engineUs) {
    if (busy) {
      drainedUs += engineUs;
    }
  }

  /** Notes whether something waits from now on. */
  public void setBusy(boolean nowBusy) {
    busy = nowBusy;
  }

  /**
   * Returns the rate in microseconds of engine time for each millisecond.
   *
   * @param priorUsPerMs the rate to assume as long as little is measured
   */
  public double rateUsPerMs(double priorUsPerMs) {
    return (drainedUs + priorUsPerMs * PRIOR_MS) / (busyMs + PRIOR_MS);
  }
}
