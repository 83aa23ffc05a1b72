package org.teaseltrail.core.control;

/** Says what came of an order. */
public enum OrderOutcome {
  /** The engine has taken it. */
  ACCEPTED,
  /** The engine has seen a greater fencing number: this member leads no longer. */
  REFUSED_OLD_FENCING,
  /** The engine refused it for another reason. */
  REFUSED,
  /** No answer came; the engine may have taken it. */
  UNREACHABLE
}
