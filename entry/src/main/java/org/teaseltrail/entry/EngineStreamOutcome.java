package org.teaseltrail.entry;

/** The way in which the response of an engine ended. */
enum EngineStreamOutcome {
  /**
   * The connection ended or failed; only the received frames show whether the stream was complete.
   */
  BROKEN,
  /** The engine refused the request before running it. */
  REFUSED,
  /** The engine doesn't know the requested stream. */
  UNKNOWN,
  /** The engine returned a response that the protocol doesn't define. */
  REJECTED
}
