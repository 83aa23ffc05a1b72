package org.teaseltrail.standin.model;

/** Says how far a request has come at an upstream. */
public enum WorkState {
  /** It was refused and did not run. */
  REFUSED,
  /** It waits or runs. */
  RUNNING,
  /** It has run to its end. */
  COMPLETED,
  /** It was stopped on the way. */
  CANCELLED,
  /** The engine died under it. */
  BROKEN
}
