package org.teaseltrail.core.entry;

/** Says what an entry VM answers to an upstream that announces itself or sends cache events. */
public enum UpstreamVerdict {
  /** Accepted and passed on. */
  ACCEPTED(204),
  /** The secret is wrong. */
  WRONG_SECRET(401),
  /** The operators don't allow this upstream. */
  NOT_ALLOWED(403),
  /** The VM has no configuration yet and can't tell; come back. */
  NOT_READY(503);

  private final int httpStatus;

  UpstreamVerdict(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }
}
