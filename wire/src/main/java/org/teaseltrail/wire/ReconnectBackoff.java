package org.teaseltrail.wire;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff for reconnects: the delay doubles with each attempt up to a maximum, and half
 * of it is random. The jitter prevents a reconnect storm, in which all VMs connect at once to a
 * control member that has just restarted.
 */
public final class ReconnectBackoff {

  private final long minDelayMs;
  private final long maxDelayMs;
  private final RandomGenerator random;
  private long nextDelayMs;

  /**
   * Creates a backoff.
   *
   * @param minDelayMs maximum of the first delay, in milliseconds
   * @param maxDelayMs maximum of all delays, in milliseconds
   * @param random source of the jitter
   */
  public ReconnectBackoff(long minDelayMs, long maxDelayMs, RandomGenerator random) {
    if (minDelayMs < 1 || maxDelayMs < minDelayMs) {
      throw new IllegalArgumentException("minDelayMs must be positive and at most maxDelayMs");
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

  /** Resets the delay after a successful connection. */
  public synchronized void reset() {
    nextDelayMs = minDelayMs;
  }
}
