package org.teaseltrail.core.request;

/** Reason why a dispatched request has no complete answer; it may have been executed. */
public enum FailureReason {
  /** The upstream reported a failure. */
  UPSTREAM_FAILED("upstream-failed", "The upstream failed."),
  /** The upstream sent an answer that violates its protocol. */
  UPSTREAM_PROTOCOL("upstream-protocol", "The upstream broke its protocol."),
  /** The connection broke and the stream could not be resumed up to its end frame. */
  STREAM_BROKEN("stream-broken", "The answer broke off and could not be resumed."),
  /** The deadline of the caller expired while the request was running. */
  DEADLINE("deadline-while-running", "The deadline passed while the request ran."),
  /** The caller disconnected and the request was cancelled at the upstream. */
  CANCELLED("cancelled-while-running", "The caller hung up while the request ran."),
  /** The answer exceeds the buffer limit of the VM for callers that don't accept a stream. */
  ANSWER_TOO_LARGE("answer-too-large", "The answer is too large to be given whole.");

  private final String problemName;
  private final String title;

  FailureReason(String problemName, String title) {
    this.problemName = problemName;
    this.title = title;
  }

  /** Returns the last segment of the problem type URI. */
  public String problemName() {
    return problemName;
  }

  /** Returns the human-readable title of the problem. */
  public String title() {
    return title;
  }
}
