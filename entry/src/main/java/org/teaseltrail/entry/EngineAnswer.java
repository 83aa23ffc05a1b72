package org.teaseltrail.entry;

/** Says how a connection to an engine ended. */
enum EngineAnswer {
  /** It ended or failed; whether the stream was whole is told by its frames alone. */
  BROKEN,
  /** The engine refused the request before it ran. */
  REFUSED,
  /** The engine knows no such stream. */
  UNKNOWN,
  /** The engine gave a status that the protocol doesn't know. */
  REJECTED
}
