package org.teaseltrail.core.schedule.limit;

/** A token bucket that limits the request rate of one customer and allows bursts. */
final class TokenBucket {

  private static final double NS_PER_SECOND = 1e9;
  private static final double MS_PER_SECOND = 1e3;

  private final double ratePerSecond;
  private final double burst;
  private double tokens;
  private long refilledNs;

  TokenBucket(double ratePerSecond, double burst, long nowNs) {
    this.ratePerSecond = ratePerSecond;
    this.burst = Math.max(1, burst);
    this.tokens = this.burst;
    this.refilledNs = nowNs;
  }

  boolean hasLimits(double otherRatePerSecond, double otherBurst) {
    return ratePerSecond == otherRatePerSecond && burst == Math.max(1, otherBurst);
  }

  boolean tryAcquire(long nowNs) {
    refill(nowNs);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns the time until the next token, in milliseconds, rounded up. */
  long waitMs() {
    double missing = Math.max(0, 1 - tokens);
    return (long) Math.ceil(missing / ratePerSecond * MS_PER_SECOND);
  }

  private void refill(long nowNs) {
    double elapsedSeconds = Math.max(0, nowNs - refilledNs) / NS_PER_SECOND;
    tokens = Math.min(burst, tokens + elapsedSeconds * ratePerSecond);
    refilledNs = nowNs;
  }
}
