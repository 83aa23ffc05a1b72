package org.teaseltrail.core.entry;

/** Answer of an entry VM to an upstream's announcement or cache event. */
public enum UpstreamVerdict {
  /** Accepted and forwarded to the leader. */
  ACCEPTED(204),
  /** The secret is wrong. */
  WRONG_SECRET(401),
  /** The configuration doesn't allow this upstream. */
  NOT_ALLOWED(403),
  /** The VM has no configuration yet and can't decide; the upstream must retry. */
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
