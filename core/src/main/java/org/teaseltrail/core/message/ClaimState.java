package org.teaseltrail.core.message;

/** State of the request that holds an idempotency key. */
public enum ClaimState {
  /** It is waiting for an upstream. */
  WAITING,
  /** An upstream is granted and may be executing it. */
  RUNNING,
  /** It has been completed. */
  COMPLETED,
  /** It ended without a complete answer and may have been executed. */
  MAY_HAVE_RUN
}
