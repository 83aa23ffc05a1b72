package org.teaseltrail.wire;

import java.util.random.RandomGenerator;

/**
 * Spaces reconnects: the delay doubles with each failure up to a bound, and half of it is random.
 * Guards against a reconnect storm, which would show as every VM knocking at once on a control
 * member that has just restarted; the random half spreads them out.
 */
public final class ReconnectBackoff {

  private final long minDelayMs;
  private final long maxDelayMs;
  private final RandomGenerator random;
  private long nextDelayMs;

  /**
   * Makes a backoff.
   *
   * @param minDelayMs bound of the first delay, in milliseconds
   * @param maxDelayMs bound of every delay, in milliseconds
   * @param random source of the jitter
   */
  public ReconnectBackoff(long minDelayMs, long maxDelayMs, RandomGenerator random) {
    if (minDelayMs < 1 || maxDelayMs < minDelayMs) {
      throw new IllegalArgumentException("delays must be positive and in order");
    }
    this.minDelayMs = minDelayMs;
    this.maxDelayMs = maxDelayMs;
    this.random = random;
    this.nextDelayMs = minDelayMs;
  }

  /**
   * Returns the delay before the next attempt.
   *
   * @return the delay, in milliseconds
   */
  public synchronized long nextDelayMs() {
    long boundMs = nextDelayMs;
    nextDelayMs = Math.min(maxDelayMs, nextDelayMs * 2);
    long fixedMs = boundMs / 2;
    return fixedMs + random.nextLong(boundMs - fixedMs + 1);
  }

  /** Starts over after a connection that worked. */
  public synchronized void reset() {
    nextDelayMs = minDelayMs;
  }
}
