package org.teaseltrail.forward;

/**
 * Notified of what happens to the connections of a pool beside the responses to requests.
 *
 * @param <K> identifies what a connection leads to
 */
interface UpstreamConnectionListener<K> {

  /** Called when a new connection was established. */
  default void onOpened(K target) {}

  /** Called when an established connection ended without an orderly close. */
  default void onLost(K target) {}

  /** Called when a response arrived that isn't known to be that of the request in flight. */
  default void onUnexpectedAnswer(K target, UnexpectedAnswer answer) {}

  /** Called on an unexpected exception on a connection, which is closed. */
  default void onFailed(Throwable failure) {}
}
