package org.teaseltrail.core.request;

/** Converts between milliseconds and the nanoseconds of the monotonic clock. */
public final class Millis {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private Millis() {}

  /** Returns the nanoseconds of a duration in milliseconds. */
  public static long toNanos(long durationMs) {
    return durationMs * NANOS_PER_MILLI;
  }

  /** Returns the whole milliseconds of a duration in nanoseconds. */
  public static long ofNanos(long durationNs) {
    return durationNs / NANOS_PER_MILLI;
  }
}
