package org.teaseltrail.core.message;

/** How a dispatched request ended. */
public enum EndKind {
  /** The entry VM received the complete answer. */
  COMPLETED,
  /**
   * The upstream reported a failure, or its stream broke and could not be resumed. The request may
   * have been executed.
   */
  FAILED,
  /** The caller disconnected and the request was cancelled at the upstream. */
  CANCELLED
}
