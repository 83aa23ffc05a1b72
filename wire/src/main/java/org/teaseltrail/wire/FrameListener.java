package org.teaseltrail.wire;

/**
 * Receives events of connections. The methods are called sequentially for each connection, on its
 * event loop, and must not block.
 *
 * @param <I> the sealed interface of inbound messages
 * @param <O> the sealed interface of outbound messages
 */
public interface FrameListener<I, O> {

  /**
   * Called when a connection is open and accepts messages.
   *
   * @param connection the connection
   */
  void onOpened(FrameConnection<I, O> connection);

  /**
   * Called when a message is received.
   *
   * @param connection the connection
   * @param message the message
   */
  void onReceived(FrameConnection<I, O> connection, I message);

  /**
   * Called when an open connection has closed.
   *
   * @param connection the connection
   * @param reason why it closed
   */
  void onClosed(FrameConnection<I, O> connection, CloseReason reason);
}
