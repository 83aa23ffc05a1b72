package org.teaseltrail.core.message;

/** Says how a dispatched request ended. */
public enum EndKind {
  /** The whole answer has reached the entry VM. */
  COMPLETED,
  /** The upstream said that it failed, or its stream broke for good; the request may have run. */
  FAILED,
  /** The caller hung up and the upstream was told to stop. */
  CANCELLED
}
