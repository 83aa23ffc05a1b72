package org.teaseltrail.load.measure;

/** Outcome of a request that a caller has sent; each request ends with exactly one. */
public enum RequestOutcome {
  /** The complete response arrived within the useful deadline of the request's kind. */
  USEFUL(true),
  /** The complete response arrived after the useful deadline. */
  LATE(true),
  /** The request was rejected to shed load; it did not run. */
  SHED(false),
  /**
   * The request was rejected due to a limit of its customer or a pool without upstreams; it did not
   * run.
   */
  REFUSED(false),
  /** The deadline passed while the request was waiting; it did not run. */
  DEADLINE(false),
  /** The caller disconnected at the deadline while the request was running. */
  HUNG_UP(false),
  /** The upstream crashed or failed while the request was running. */
  FAILED(false),
  /** The request was still waiting or running when the run ended, after its useful deadline. */
  UNFINISHED(false);

  private final boolean completed;

  RequestOutcome(boolean completed) {
    this.completed = completed;
  }

  /** Returns whether the caller received the complete response. */
  public boolean completed() {
    return completed;
  }
}
