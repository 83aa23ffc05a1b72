package org.teaseltrail.runtime.clock;

import java.util.function.LongSupplier;

/**
 * Counts elapsed time, that of a suspended machine too.
 *
 * <p>Guards against a machine that is suspended and wakes: its steady clock stands still meanwhile,
 * so a lease counted by it looks fresh although another member leads by now, or a key was revoked.
 * The guard: of the steady clock and the time of day, whichever says that more time has passed is
 * believed. A time of day that is set forward costs a lease, never a promise; one that is set back
 * changes nothing. Thread-safe.
 */
public final class SuspendAwareClock {

  private static final long NS_PER_MS = 1_000_000L;

  /** Lead of the time of day that can't come from its rounding or its slewing. */
  private static final long LEAST_SUSPENSION_NS = 5 * NS_PER_MS;

  private final LongSupplier steadyNs;
  private final LongSupplier timeOfDayMs;
  private long lastSteadyNs;
  private long lastTimeOfDayMs;
  private long elapsedNs;

  /** Makes a clock of this machine, from zero. */
  public SuspendAwareClock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /**
   * Makes a clock, from zero.
   *
   * @param steadyNs the steady clock, in nanoseconds
   * @param timeOfDayMs the time of day, in milliseconds
   */
  public SuspendAwareClock(LongSupplier steadyNs, LongSupplier timeOfDayMs) {
    this.steadyNs = steadyNs;
    this.timeOfDayMs = timeOfDayMs;
    lastSteadyNs = steadyNs.getAsLong();
    lastTimeOfDayMs = timeOfDayMs.getAsLong();
  }

  /**
   * Returns the time since the clock was made.
   *
   * @return nanoseconds; never less than at the call before
   */
  public synchronized long nowNs() {
    long steady = steadyNs.getAsLong();
    long dayMs = timeOfDayMs.getAsLong();
    long steadyStepNs = steady - lastSteadyNs;
    long dayStepMs = dayMs - lastTimeOfDayMs;
    lastSteadyNs = steady;
    lastTimeOfDayMs = dayMs;
    // The time of day comes in whole milliseconds: only a clear lead over the steady clock counts,
    // or each reading could add up to one.
    boolean suspended = dayStepMs * NS_PER_MS > steadyStepNs + LEAST_SUSPENSION_NS;
    elapsedNs += suspended ? dayStepMs * NS_PER_MS : Math.max(0, steadyStepNs);
    return elapsedNs;
  }
}
