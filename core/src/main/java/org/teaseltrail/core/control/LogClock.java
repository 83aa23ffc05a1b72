package org.teaseltrail.core.control;

/**
 * Gives log time, which goes on from where the log stands while the member leads. It needs no time
 * of day, which may jump, and never goes back from one leader to the next.
 */
final class LogClock {

  private static final long NS_PER_MS = 1_000_000L;

  private final long startMs;
  private final long startNs;

  LogClock(long startMs, long startNs) {
    this.startMs = startMs;
    this.startNs = startNs;
  }

  long nowMs(long nowNs) {
    return startMs + (nowNs - startNs) / NS_PER_MS;
  }
}
