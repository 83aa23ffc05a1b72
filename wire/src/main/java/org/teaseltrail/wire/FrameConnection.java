package org.teaseltrail.wire;

import java.util.concurrent.CompletableFuture;

/**
 * Is one open connection that carries typed messages. Thread-safe.
 *
 * @param <I> the sealed interface of what comes in
 * @param <O> the sealed interface of what goes out
 */
public interface FrameConnection<I, O> extends AutoCloseable {

  /**
   * Returns who opened the connection.
   *
   * @return the first frame of the connection
   */
  ConnectionOpening opening();

  /**
   * Queues a message to be written. Messages of one thread go out in the order of the calls. If the
   * peer reads so slowly that the queue is full, the connection ends as {@link
   * CloseReason#PEER_NOT_READING}.
   *
   * @param message the message
   * @return whether the message was queued; false once the connection has ended
   * @throws FrameTooLargeException if the message passes the limit of a frame; nothing was sent
   */
  boolean send(O message);

  /**
   * Returns what completes when the connection has ended.
   *
   * @return a future that never fails
   */
  CompletableFuture<CloseReason> closed();

  /** Ends the connection; what waits to be written may be lost. */
  @Override
  void close();
}
