package org.teaseltrail.core.forward;

/** The outcome of an attempt at an upstream. */
public enum AttemptOutcome {
  /** The complete response was received. */
  ANSWERED(true, false),
  /** The complete response was received and reports a failure of the upstream itself. */
  FAILED_ANSWER(true, true),
  /** No connection could be established, so nothing was sent. */
  NOT_CONNECTED(false, true),
  /**
   * Nothing was sent, because the upstream requested backoff before the connection was established.
   */
  WITHHELD(false, false),
  /** The upstream reported that it did not run the request because it has no capacity. */
  REFUSED(false, false),
  /** Another upstream now listens on the address; it did not run the request. */
  MISDIRECTED(false, true),
  /** The connection was closed, or the response was malformed; the request may have run. */
  BROKEN(true, true);

  private final boolean maybeRan;
  private final boolean failure;

  AttemptOutcome(boolean maybeRan, boolean failure) {
    this.maybeRan = maybeRan;
    this.failure = failure;
  }

  /**
   * Returns whether the upstream may have started to process the request.
   *
   * @return false if the request is known not to have run there
   */
  public boolean maybeRan() {
    return maybeRan;
  }

  /**
   * Returns whether the request was sent at all.
   *
   * @return false if there was no connection, or it was not used
   */
  public boolean wasSent() {
    return this != NOT_CONNECTED && this != WITHHELD;
  }

  /**
   * Returns whether the intended upstream received the request.
   *
   * @return false if nothing was sent, or another upstream received it
   */
  public boolean reachedUpstream() {
    return wasSent() && this != MISDIRECTED;
  }

  /**
   * Returns whether the upstream sent a complete response, successful or not.
   *
   * @return true if there is a response to deliver
   */
  public boolean isAnswer() {
    return this == ANSWERED || this == FAILED_ANSWER;
  }

  /**
   * Returns whether the connection failed, before or while it was used.
   *
   * @return true if there was no connection, or it ended without a complete response
   */
  public boolean isConnectionFailure() {
    return this == NOT_CONNECTED || this == BROKEN;
  }

  /**
   * Returns whether the outcome counts as a failure of the upstream.
   *
   * @return true for failures
   */
  public boolean isFailure() {
    return failure;
  }
}
