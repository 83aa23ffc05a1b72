package org.teaseltrail.core.relay;

/** How the relay of a request to a peer ended. */
public enum RelayOutcome {
  /**
   * The peer returned the final answer: an upstream's response, or a refusal that promises nothing.
   */
  ANSWERED(false, false),
  /** The peer refused it for good, and states that it has not run there and never will. */
  REFUSED(false, false),
  /** The peer can't serve it either, and nothing has run there. */
  DECLINED(false, true),
  /** No connection to the peer was established, so nothing was sent. */
  NOT_CONNECTED(false, true),
  /** The connection ended without a complete answer; the request may have run. */
  BROKEN(true, true);

  private final boolean maybeRan;
  private final boolean needsOtherPeer;

  RelayOutcome(boolean maybeRan, boolean needsOtherPeer) {
    this.maybeRan = maybeRan;
    this.needsOtherPeer = needsOtherPeer;
  }

  /**
   * Returns whether the request may have run by this relay without an answer.
   *
   * @return false if it is known not to have run, or was answered
   */
  public boolean maybeRan() {
    return maybeRan;
  }

  /**
   * Returns whether the request still needs an answer.
   *
   * @return false if the peer's answer is final
   */
  public boolean needsOtherPeer() {
    return needsOtherPeer;
  }
}
