package org.teaseltrail.load.measure;

/** Says how an offered request ended; each request ends in exactly one of these. */
public enum RequestOutcome {
  /** The whole answer came within the kind's useful deadline. */
  USEFUL(true),
  /** The whole answer came, but too late to be of use. */
  LATE(true),
  /** Load was shed; it did not run. */
  SHED(false),
  /** A limit of its customer, or a pool without upstreams; it did not run. */
  REFUSED(false),
  /** Its deadline passed while it waited; it did not run. */
  DEADLINE(false),
  /** Its caller hung up at the deadline while it ran. */
  HUNG_UP(false),
  /** Its upstream died or failed while it ran. */
  FAILED(false),
  /** It still waited or ran when the run ended, later than its useful deadline. */
  UNFINISHED(false);

  private final boolean completed;

  RequestOutcome(boolean completed) {
    this.completed = completed;
  }

  /** Returns whether the caller got the whole answer. */
  public boolean completed() {
    return completed;
  }
}
