package org.teaseltrail.standin.model;

/** Invariants that the engine and service models check about themselves. */
public enum EngineInvariant {
  /** At most as many sequences or calls run concurrently as the configured limit. */
  BATCH_WITHIN_LIMIT,
  /** The prefix cache doesn't exceed its capacity in blocks. */
  CACHE_WITHIN_LIMIT,
  /** Each uncached prompt token is processed exactly once per execution of a request. */
  PREFILL_COUNTED_ONCE,
  /** Frames of a stream are numbered from zero without gaps; none follows the final one. */
  FRAMES_WITHOUT_GAP,
  /** The time passed to a model never decreases. */
  TIME_GROWS;

  /**
   * Throws if the invariant doesn't hold.
   *
   * @param holds whether it holds
   * @throws EngineInvariantViolation if it does not hold
   */
  public void check(boolean holds) {
    if (!holds) {
      throw new EngineInvariantViolation(this);
    }
  }
}
