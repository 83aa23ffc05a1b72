package org.teaseltrail.core.forward;

/** Says how an attempt at an upstream ended. */
public enum AttemptOutcome {
  /** The whole answer came. */
  ANSWERED(true, false),
  /** The whole answer came and tells of a failure of the upstream's own. */
  FAILED_ANSWER(true, true),
  /** No connection could be made, so nothing was sent. */
  NOT_CONNECTED(false, true),
  /** Nothing was sent, as the upstream asked for none before there was a connection. */
  WITHHELD(false, false),
  /** The upstream said that it did not run the request, as it has no room. */
  REFUSED(false, false),
  /** Another upstream has the address by now; it did not run the request. */
  MISDIRECTED(false, true),
  /** The connection ended, or what came was no answer; the request may have run. */
  BROKEN(true, true);

  private final boolean maybeRan;
  private final boolean failure;

  AttemptOutcome(boolean maybeRan, boolean failure) {
    this.maybeRan = maybeRan;
    this.failure = failure;
  }

  /**
   * Tells whether the upstream may have begun to work on the request.
   *
   * @return false if it is known not to have run there
   */
  public boolean maybeRan() {
    return maybeRan;
  }

  /**
   * Tells whether the request was sent to anybody.
   *
   * @return false if there was no connection, or it was not used
   */
  public boolean wasSent() {
    return this != NOT_CONNECTED && this != WITHHELD;
  }

  /**
   * Tells whether the upstream that was meant has got the request.
   *
   * @return false if nothing was sent, or another upstream got it
   */
  public boolean reachedUpstream() {
    return wasSent() && this != MISDIRECTED;
  }

  /**
   * Tells whether the upstream has answered the request whole, well or not.
   *
   * @return true if there is an answer to deliver
   */
  public boolean isAnswer() {
    return this == ANSWERED || this == FAILED_ANSWER;
  }

  /**
   * Tells whether the end speaks against the upstream.
   *
   * @return true for failures
   */
  public boolean isFailure() {
    return failure;
  }
}
