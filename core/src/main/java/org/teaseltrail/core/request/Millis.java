package org.teaseltrail.core.request;

/** Converts between milliseconds and the nanoseconds of the monotonic clock. */
public final class Millis {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private Millis() {}

  /** Converts a duration in milliseconds to nanoseconds. */
  public static long toNanos(long durationMs) {
    return durationMs * NANOS_PER_MILLI;
  }

  /** Converts a duration in nanoseconds to milliseconds, rounded toward zero. */
  public static long ofNanos(long durationNs) {
    return durationNs / NANOS_PER_MILLI;
  }
}
