package org.teaseltrail.wire;

/**
 * Hears what happens on connections. Calls for one connection come one at a time and in order, on
 * its event loop; they must not block.
 *
 * @param <I> the sealed interface of what comes in
 * @param <O> the sealed interface of what goes out
 */
public interface FrameListener<I, O> {

  /**
   * A connection is open and may be sent on.
   *
   * @param connection the connection
   */
  void opened(FrameConnection<I, O> connection);

  /**
   * A message has come.
   *
   * @param connection the connection
   * @param message the message
   */
  void received(FrameConnection<I, O> connection, I message);

  /**
   * A connection that was open has ended.
   *
   * @param connection the connection
   * @param reason why
   */
  void closed(FrameConnection<I, O> connection, CloseReason reason);
}
