package org.teaseltrail.core.schedule.ticket;

import java.util.concurrent.TimeUnit;

/** Converts between milliseconds of messages and nanoseconds of the monotonic clock. */
public final class Nanos {

  private Nanos() {}

  /** Returns nanoseconds of milliseconds, saturating. */
  public static long fromMs(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** Returns whole milliseconds of nanoseconds, rounded down. */
  public static long toMs(long ns) {
    return TimeUnit.NANOSECONDS.toMillis(ns);
  }

  /** Returns the sum of a time and a span, saturating at the greatest time. */
  public static long plus(long timeNs, long spanNs) {
    long sum = timeNs + spanNs;
    return sum < timeNs && spanNs > 0 ? Long.MAX_VALUE : sum;
  }
}
