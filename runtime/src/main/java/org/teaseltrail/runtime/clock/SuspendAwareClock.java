package org.teaseltrail.runtime.clock;

import java.util.function.LongSupplier;

/**
 * Monotonic clock that also counts the time during which the machine was suspended.
 *
 * <p>The JVM's monotonic clock stops while a machine is suspended. After the resume, a lease
 * measured by it would look valid although another member may have become leader, or a key may have
 * been revoked. At each reading this class therefore compares how far the monotonic clock and the
 * wall clock have advanced, and counts the step of the wall clock if it is clearly larger. A wall
 * clock that is set forward can make a lease expire early but never breaks a guarantee; one that is
 * set back has no effect. Thread-safe.
 */
public final class SuspendAwareClock {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Minimum lead of the wall clock that is treated as a suspension; rounding and slewing of the
   * wall clock stay below it.
   */
  private static final long MIN_SUSPENSION_NS = 5 * NS_PER_MS;

  private final LongSupplier monotonicNs;
  private final LongSupplier wallClockMs;
  private long lastMonotonicNs;
  private long lastWallClockMs;
  private long elapsedNs;

  /** Creates a clock that reads the clocks of this machine and starts at zero. */
  public SuspendAwareClock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /**
   * Creates a clock that starts at zero.
   *
   * @param monotonicNs the monotonic clock, in nanoseconds
   * @param wallClockMs the wall clock, in milliseconds
   */
  public SuspendAwareClock(LongSupplier monotonicNs, LongSupplier wallClockMs) {
    this.monotonicNs = monotonicNs;
    this.wallClockMs = wallClockMs;
    lastMonotonicNs = monotonicNs.getAsLong();
    lastWallClockMs = wallClockMs.getAsLong();
  }

  /**
   * Returns the time elapsed since the clock was created.
   *
   * @return nanoseconds; never less than the previous reading
   */
  public synchronized long nowNs() {
    long monotonicReadingNs = monotonicNs.getAsLong();
    long wallReadingMs = wallClockMs.getAsLong();
    long monotonicStepNs = monotonicReadingNs - lastMonotonicNs;
    long wallStepMs = wallReadingMs - lastWallClockMs;
    lastMonotonicNs = monotonicReadingNs;
    lastWallClockMs = wallReadingMs;
    // The wall clock has a resolution of one millisecond. Only a lead above the threshold counts,
    // because otherwise the rounding errors of the readings would add up.
    boolean suspended = wallStepMs * NS_PER_MS > monotonicStepNs + MIN_SUSPENSION_NS;
    elapsedNs += suspended ? wallStepMs * NS_PER_MS : Math.max(0, monotonicStepNs);
    return elapsedNs;
  }
}
