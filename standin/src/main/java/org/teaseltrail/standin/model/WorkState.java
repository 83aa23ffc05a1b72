package org.teaseltrail.standin.model;

/** State of a request at an engine. */
public enum WorkState {
  /** Refused and not executed. */
  REFUSED,
  /** Queued or running. */
  RUNNING,
  /** Ran to completion. */
  COMPLETED,
  /** Cancelled before its completion. */
  CANCELLED,
  /** Lost in a crash of the engine. */
  BROKEN
}
