package org.teaseltrail.core.forward;

/** Says why a request ends without an upstream's answer, and whether it may have run. */
public enum RefusalReason {
  /** No route takes it. */
  NO_ROUTE(false),
  /** Its key is missing or unknown. */
  UNKNOWN_KEY(false),
  /** This VM has no plan yet, or can't be sure that its plan is the newest. */
  PLAN_UNCERTAIN(false),
  /** This VM is about to end and couldn't finish it. */
  ENDING(false),
  /** Its customer has used its quota up. */
  OVER_QUOTA(false),
  /** No upstream takes it now. */
  NO_UPSTREAM(false),
  /** It waited for as long as it could still be of use. */
  WAITED_TOO_LONG(false),
  /** Upstreams ended under it, so none gets it any longer. */
  QUARANTINED(false),
  /** Upstreams were asked and none ran it. */
  NOT_RUN(false),
  /** Its upstream's answer broke off or was no answer; it may have run. */
  BROKEN(true),
  /** Its time ran out while an upstream had it; it may have run. */
  TIMED_OUT(true);

  private final boolean maybeRan;

  RefusalReason(boolean maybeRan) {
    this.maybeRan = maybeRan;
  }

  /**
   * Tells whether an upstream may have begun to work on the request.
   *
   * @return false is a promise: it has not run and never will
   */
  public boolean maybeRan() {
    return maybeRan;
  }
}
