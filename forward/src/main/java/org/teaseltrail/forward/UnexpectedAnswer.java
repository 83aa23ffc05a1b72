package org.teaseltrail.forward;

import java.util.Optional;

/**
 * A response that isn't known to be that of the request in flight on its connection.
 *
 * @param handling what became of it
 * @param awaited id of the request in flight, if there was one
 * @param named id of the request that the response contains, if it contains one
 * @param previous id of the request before on the connection, if there was one
 * @param status its status, 0 if it couldn't be decoded
 * @param connectionUses number of requests sent on the connection
 * @param connectionAgeMs time since the connection was opened, in milliseconds
 */
record UnexpectedAnswer(
    Handling handling,
    Optional<String> awaited,
    Optional<String> named,
    Optional<String> previous,
    int status,
    int connectionUses,
    long connectionAgeMs) {

  /** Status of what couldn't be decoded. */
  static final int NO_STATUS = 0;

  /** What becomes of an unexpected response. */
  enum Handling {
    /** It names another request, and was read and dropped. */
    SKIPPED,
    /** It can't be told to be that of the request in flight, so that the attempt was given up. */
    DOUBTED,
    /** No request was in flight, or its answer had ended, and the connection was closed. */
    UNASKED
  }
}
