package org.teaseltrail.core.schedule.ticket;

import java.util.concurrent.TimeUnit;

/** Converts between the milliseconds of messages and the nanoseconds of the monotonic clock. */
public final class Nanos {

  private Nanos() {}

  /** Converts milliseconds to nanoseconds, saturating on overflow. */
  public static long fromMs(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** Converts nanoseconds to whole milliseconds, truncating. */
  public static long toMs(long ns) {
    return TimeUnit.NANOSECONDS.toMillis(ns);
  }

  /** Returns the sum of a time and a duration, saturating on overflow. */
  public static long plus(long timeNs, long spanNs) {
    long sum = timeNs + spanNs;
    return sum < timeNs && spanNs > 0 ? Long.MAX_VALUE : sum;
  }
}
