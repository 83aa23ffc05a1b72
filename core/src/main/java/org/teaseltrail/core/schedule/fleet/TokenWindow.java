package org.teaseltrail.core.schedule.fleet;

/**
 * An adaptive limit on the tokens in flight on one engine, controlled by the time between tokens of
 * its answers as TCP's congestion window is by losses: the window grows by a small fraction while
 * the time is within the target and shrinks while it is not. An engine that is short of memory or
 * shared with other work shows longer times between tokens, whatever the cause.
 */
final class TokenWindow {

  /** Minimum initial size of the window, in tokens per slot of the batch. */
  private static final long START_TOKENS_PER_SLOT = 8_192;

  /** Minimum size of the window, in tokens per slot of the batch, so that slots stay usable. */
  private static final long MIN_TOKENS_PER_SLOT = 512;

  private static final double DECREASE = 0.9;
  private static final double INCREASE = 0.05;

  /**
   * Weight of the newest sample in the moving average: a single answer that is delayed by a long
   * prompt does not mean overload.
   */
  private static final double GAIN = 0.2;

  /** Minimum time between two decreases, so that one takes effect before the next. */
  private static final long SETTLE_NS = 500_000_000;

  private final double targetMs;
  private long tokens;
  private long minWindowTokens;
  private double tokenMs;
  private long decreasedNs = Long.MIN_VALUE / 2;

  TokenWindow(double targetMs) {
    this.targetMs = targetMs;
  }

  /**
   * Sets the minimum size, and the initial size of a new window, from the engine's announcement.
   */
  void size(int maxBatch, long cacheTokens) {
    minWindowTokens = maxBatch * MIN_TOKENS_PER_SLOT;
    if (tokens == 0) {
      tokens = Math.max(maxBatch * START_TOKENS_PER_SLOT, cacheTokens);
    }
  }

  long tokens() {
    return tokens;
  }

  /** Records a time between tokens that was measured at this number of tokens in flight. */
  void addSample(double sampleMs, long tokensInFlight, long nowNs) {
    tokenMs += GAIN * (sampleMs - tokenMs);
    if (tokenMs > targetMs) {
      decrease(tokensInFlight, nowNs);
    } else if (tokensInFlight > tokens / 2) {
      tokens += (long) (tokens * INCREASE);
    }
  }

  private void decrease(long tokensInFlight, long nowNs) {
    if (nowNs - decreasedNs < SETTLE_NS) {
      return;
    }
    decreasedNs = nowNs;
    long from = Math.min(tokens, Math.max(tokensInFlight, minWindowTokens));
    tokens = Math.max(minWindowTokens, (long) (from * DECREASE));
  }
}
