package org.teaseltrail.core.rollout;

/** Result of a rollout order of an operator. */
public enum RolloutOrderResult {
  /** The order is committed to the log. */
  ACCEPTED,
  /** The order is a retry of one that was accepted before; nothing has changed. */
  REPEATED,
  /** Rejected: a rollout of the service is in progress. */
  ALREADY_RUNNING,
  /** Rejected: the plan does not define the service. */
  UNKNOWN_SERVICE,
  /** Rejected: the duration is missing or out of range. */
  BAD_DURATION,
  /** Rejected: the version is already the only one in force. */
  ALREADY_IN_FORCE,
  /** Rejected: there is no rollout to abort. */
  NONE_RUNNING;

  /**
   * Returns whether the order is accepted, now or by an earlier attempt.
   *
   * @return false if it is rejected
   */
  public boolean isAccepted() {
    return this == ACCEPTED || this == REPEATED;
  }
}
