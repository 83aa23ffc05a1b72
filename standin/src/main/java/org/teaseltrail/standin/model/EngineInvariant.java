package org.teaseltrail.standin.model;

/** Names what the engine model asserts of itself. */
public enum EngineInvariant {
  /** No more sequences run at once than the hardware's batch holds. */
  BATCH_WITHIN_LIMIT,
  /** The prefix cache holds no more blocks than fit. */
  CACHE_WITHIN_LIMIT,
  /** Each prompt token that isn't cached is processed exactly once in one run of a request. */
  PREFILL_COUNTED_ONCE,
  /** The frames of a stream are numbered from zero without a gap, and none follows the end. */
  FRAMES_WITHOUT_GAP,
  /** Time passed in never goes back. */
  TIME_GROWS;

  /**
   * Checks that the invariant holds.
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
