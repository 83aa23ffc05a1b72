package org.teaseltrail.core.message;

/** Says how far the first request under a key has come. */
public enum ClaimState {
  /** It waits for an upstream. */
  WAITING,
  /** It was granted an upstream and may be running. */
  RUNNING,
  /** It has completed. */
  COMPLETED,
  /** It ended without a whole answer and may have run. */
  MAY_HAVE_RUN
}
