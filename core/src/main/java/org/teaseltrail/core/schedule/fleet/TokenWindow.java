package org.teaseltrail.core.schedule.fleet;

/**
 * Bounds the tokens in flight on one engine by the time between tokens of an answer: additive
 * increase while it is within the target, multiplicative decrease while it is not (as TCP does with
 * losses). An engine that is short of memory or shared with other work shows as time between
 * tokens, whatever the cause.
 */
final class TokenWindow {

  /** Tokens in flight that a new window has room for at least, for each slot of the batch. */
  private static final long START_TOKENS_PER_SLOT = 8_192;

  /** The window never shrinks below this for each slot, so that slots stay usable. */
  private static final long MIN_TOKENS_PER_SLOT = 512;

  private static final double DECREASE = 0.9;
  private static final double INCREASE = 0.05;

  /** Weight of the newest sample: one answer behind a long prompt is not crowding yet. */
  private static final double GAIN = 0.2;

  /** Least time between two decreases: a decrease must show before the next one. */
  private static final long SETTLE_NS = 500_000_000;

  private final double targetMs;
  private long tokens;
  private long minWindowTokens;
  private double tokenMs;
  private long decreasedNs = Long.MIN_VALUE / 2;

  TokenWindow(double targetMs) {
    this.targetMs = targetMs;
  }

  /** Sizes a new window by what the engine says of itself. */
  void size(int maxBatch, long cacheTokens) {
    minWindowTokens = maxBatch * MIN_TOKENS_PER_SLOT;
    if (tokens == 0) {
      tokens = Math.max(maxBatch * START_TOKENS_PER_SLOT, cacheTokens);
    }
  }

  long tokens() {
    return tokens;
  }

  /** Takes the time between tokens that was seen at so many tokens in flight. */
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
