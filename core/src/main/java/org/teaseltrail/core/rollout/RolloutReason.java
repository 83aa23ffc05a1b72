package org.teaseltrail.core.rollout;

/** Says why a rollout turned to its phase. */
public enum RolloutReason {
  /** An operator ordered it. */
  ORDERED,
  /** The ordered version was looked at and is as good as those before. */
  PROVEN,
  /** The ordered version is in force everywhere. */
  IN_FORCE,
  /** The ordered version fails more often than those before. */
  FAILURES,
  /** The ordered version begins its answers later than those before. */
  SLOW_START,
  /** The ordered version's streams run slower than those before. */
  SLOW_STREAM,
  /** Its time ran out before the ordered version had enough warm upstreams. */
  TOO_FEW_UPSTREAMS,
  /** Its time ran out before the ordered version was looked at enough. */
  UNPROVEN,
  /** An operator broke it off. */
  ABORTED
}
