package org.teaseltrail.wire;

import java.util.concurrent.CompletableFuture;

/**
 * An open connection that carries typed messages. Thread-safe.
 *
 * @param <I> the sealed interface of inbound messages
 * @param <O> the sealed interface of outbound messages
 */
public interface FrameConnection<I, O> extends AutoCloseable {

  /**
   * Returns the handshake, which identifies the client that opened the connection.
   *
   * @return the first frame of the connection
   */
  ConnectionHandshake handshake();

  /**
   * Queues a message for sending. Messages from one thread are sent in the order of the calls. If
   * the outbound queue is full because the peer reads too slowly, the connection is closed with
   * {@link CloseReason#PEER_NOT_READING}.
   *
   * @param message the message
   * @return whether the message was queued; false once the connection is closed
   * @throws FrameTooLargeException if the message exceeds the maximum frame size; nothing is sent
   */
  boolean send(O message);

  /**
   * Returns a future that completes when the connection is closed.
   *
   * @return a future that never completes exceptionally
   */
  CompletableFuture<CloseReason> closeFuture();

  /** Closes the connection; queued messages may be lost. */
  @Override
  void close();
}
