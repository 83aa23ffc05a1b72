package org.teaseltrail.load.http;

/** Violation of the protocol or of a guarantee that was detected in a response. */
public enum ResponseFault {
  /** The sequence numbers of its events have a gap or are out of order. */
  OUT_OF_ORDER,
  /** Its text isn't the expected response to its request. */
  NOT_ITS_OWN,
  /** It was reported as completed, but is incomplete. */
  NOT_WHOLE,
  /** It ended without the closing event. */
  NO_CLOSING_EVENT,
  /** It violates the protocol. */
  MALFORMED,
  /** A non-idempotent request ran more than once. */
  RAN_TWICE,
  /** A request ran although the system had reported to the caller that it didn't. */
  RAN_THOUGH_DENIED
}
