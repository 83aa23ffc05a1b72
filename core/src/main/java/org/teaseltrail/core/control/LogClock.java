package org.teaseltrail.core.control;

/**
 * Provides log time, which continues from the newest time in the log while the member leads. It
 * does not depend on wall-clock time, which may jump, and never goes back from one leader to the
 * next.
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
