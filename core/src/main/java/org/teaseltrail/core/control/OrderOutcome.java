package org.teaseltrail.core.control;

/** Outcome of an order. */
public enum OrderOutcome {
  /** The engine has accepted the order. */
  ACCEPTED,
  /** The engine has seen a greater fencing number: this member is no longer the leader. */
  REFUSED_OLD_FENCING,
  /** The engine rejected the order for another reason. */
  REFUSED,
  /** No answer was received; the engine may have accepted the order. */
  UNREACHABLE
}
