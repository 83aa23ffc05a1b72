package org.teaseltrail.control;

/** Reads the monotonic clock, from zero at its making. */
final class MonotonicClock {

  private final long originNs = System.nanoTime();

  /** Returns the time since the clock was made, in nanoseconds. */
  long nowNs() {
    return System.nanoTime() - originNs;
  }
}
