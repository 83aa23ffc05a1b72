package org.teaseltrail.core.schedule.fleet;

/**
 * Bounds the tokens in flight on one engine by its step times: additive increase while steps are
 * short, multiplicative decrease when they grow past a multiple of the shortest (as TCP Vegas does
 * with round trips).
 */
final class TokenWindow {

  /** Tokens in flight that a new window has room for at least, for each slot of the batch. */
  private static final long START_TOKENS_PER_SLOT = 8_192;

  /** The window never shrinks below this for each slot, so that slots stay usable. */
  private static final long LEAST_TOKENS_PER_SLOT = 256;

  /** Multiple of the shortest step from which the engine counts as crowded. */
  private static final double CROWDED = 4;

  private static final double DECREASE = 0.9;
  private static final double INCREASE = 0.05;

  /** Least time between two decreases: a decrease must show before the next one. */
  private static final long SETTLE_NS = 500_000_000;

  private long tokens;
  private long least;
  private double shortestMs = Double.MAX_VALUE;
  private long decreasedNs = Long.MIN_VALUE / 2;

  /** Sizes a new window by what the engine says of itself. */
  void size(int maxBatch, long cacheTokens) {
    least = maxBatch * LEAST_TOKENS_PER_SLOT;
    if (tokens == 0) {
      tokens = Math.max(maxBatch * START_TOKENS_PER_SLOT, cacheTokens);
    }
  }

  long tokens() {
    return tokens;
  }

  /** Takes the time of a step at so many tokens in flight. */
  void sample(double stepMs, long tokensInFlight, long nowNs) {
    if (stepMs <= 0) {
      return;
    }
    shortestMs = Math.min(shortestMs, stepMs);
    if (stepMs > CROWDED * shortestMs) {
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
    long from = Math.min(tokens, Math.max(tokensInFlight, least));
    tokens = Math.max(least, (long) (from * DECREASE));
  }
}
