package org.teaseltrail.core.rollout;

/** Says what became of an operator's order. */
public enum RolloutOrderResult {
  /** It is in the log. */
  ACCEPTED,
  /** It was accepted before; nothing has changed. */
  REPEATED,
  /** Refused: a rollout of the service is running. */
  ALREADY_RUNNING,
  /** Refused: the plan has no such service. */
  UNKNOWN_SERVICE,
  /** Refused: no time, or an absurd one. */
  BAD_DURATION,
  /** Refused: the version is the only one in force. */
  ALREADY_IN_FORCE,
  /** Refused: there is nothing to break off. */
  NONE_RUNNING;

  /**
   * Tells whether the order is, or was, taken.
   *
   * @return false for refusals
   */
  public boolean isAccepted() {
    return this == ACCEPTED || this == REPEATED;
  }
}
