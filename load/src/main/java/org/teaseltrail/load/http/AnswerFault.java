package org.teaseltrail.load.http;

/** Says what is wrong with an answer that must never be so. */
public enum AnswerFault {
  /** Its frames have a gap or come out of order. */
  OUT_OF_ORDER,
  /** Its text is not that of its own request. */
  NOT_ITS_OWN,
  /** It is said to be complete and is not. */
  NOT_WHOLE,
  /** It ended without a closing event. */
  NO_CLOSING_EVENT,
  /** It isn't what the protocol says. */
  MALFORMED,
  /** A non-idempotent request ran more than once. */
  RAN_TWICE,
  /** A request that the caller was told had not run did run. */
  RAN_THOUGH_DENIED
}
