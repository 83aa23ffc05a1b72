package org.teaseltrail.core.request;

/** Says why a dispatched request has no whole answer. It may have run. */
public enum FailureReason {
  /** The upstream said that it failed. */
  UPSTREAM_FAILED("upstream-failed", "The upstream failed."),
  /** The upstream gave an answer that its protocol doesn't know. */
  UPSTREAM_PROTOCOL("upstream-protocol", "The upstream broke its protocol."),
  /** The connection broke and the stream could not be resumed to its end mark. */
  STREAM_BROKEN("stream-broken", "The answer broke off and could not be resumed."),
  /** The caller's deadline passed while the request ran. */
  DEADLINE("deadline-while-running", "The deadline passed while the request ran."),
  /** The caller hung up and the upstream was told to stop. */
  CANCELLED("cancelled-while-running", "The caller hung up while the request ran."),
  /** The answer is longer than the VM may hold for a caller who wants it whole. */
  ANSWER_TOO_LARGE("answer-too-large", "The answer is too large to be given whole.");

  private final String problemName;
  private final String title;

  FailureReason(String problemName, String title) {
    this.problemName = problemName;
    this.title = title;
  }

  /** Returns the last part of the problem's type. */
  public String problemName() {
    return problemName;
  }

  /** Returns a sentence for people. */
  public String title() {
    return title;
  }
}
