package org.teaseltrail.core.forward;

import org.teaseltrail.core.relay.RelayOutcome;

/** The reason why a request ends without an upstream's response, and whether it may have run. */
public enum RefusalReason {
  /** No route matches it. */
  NO_ROUTE(false),
  /** Its key is missing or unknown. */
  UNKNOWN_KEY(false),
  /** This VM has no plan yet, or can't be sure that its plan is the newest. */
  PLAN_UNCERTAIN(false),
  /** This VM is shutting down and couldn't finish it. */
  ENDING(false),
  /** Its customer's quota is exhausted. */
  OVER_QUOTA(false),
  /** No upstream can serve it at present. */
  NO_UPSTREAM(false),
  /** It waited in the queue for its maximum time. */
  WAITED_TOO_LONG(false),
  /** It is quarantined: several upstreams terminated while they processed it. */
  QUARANTINED(false),
  /** A peer relayed it to this VM, which reaches no upstream of its service either. */
  NO_PATH(false),
  /** It resumes a stream, and no upstream of the version that began it is registered. */
  NO_MATCHING_VERSION(false),
  /** It resumes a stream, and nobody knows for certain which version began that. */
  ORIGIN_UNKNOWN(false),
  /** No upstream that was tried ran it. */
  NOT_RUN(false),
  /** Its upstream's response was cut off or malformed; it may have run. */
  BROKEN(true),
  /** It timed out at an upstream; it may have run. */
  TIMED_OUT(true),
  /** This VM is shutting down and gave it up at an upstream or a peer; it may have run. */
  GIVEN_UP(true),
  /** The leader's forecast says that it would get no slot within the time that it may wait. */
  FORECAST(false);

  private final boolean maybeRan;

  RefusalReason(boolean maybeRan) {
    this.maybeRan = maybeRan;
  }

  /**
   * Returns what a refusal for this reason means to the VM that relayed the request to this one.
   *
   * @return {@link RelayOutcome#DECLINED} if the reason lies with this VM, so that another one may
   *     serve the request, {@link RelayOutcome#BROKEN} if that holds and it may have run
   */
  public RelayOutcome relayOutcome() {
    return switch (this) {
      case NO_PATH, PLAN_UNCERTAIN, ENDING -> RelayOutcome.DECLINED;
      case GIVEN_UP -> RelayOutcome.BROKEN;
      default -> maybeRan ? RelayOutcome.ANSWERED : RelayOutcome.REFUSED;
    };
  }

  /**
   * Returns whether an upstream may have started to process the request.
   *
   * @return false guarantees that it has not run and never will
   */
  public boolean maybeRan() {
    return maybeRan;
  }
}
