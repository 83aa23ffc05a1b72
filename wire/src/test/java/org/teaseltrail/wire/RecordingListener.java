package org.teaseltrail.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records the events of connections in queues, from which a test polls them. */
final class RecordingListener<I, O> implements FrameListener<I, O> {

  private static final long TIMEOUT_SECONDS = 10;

  private final BlockingQueue<FrameConnection<I, O>> opened = new LinkedBlockingQueue<>();
  private final BlockingQueue<I> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<CloseReason> closed = new LinkedBlockingQueue<>();

  @Override
  public void onOpened(FrameConnection<I, O> connection) {
    opened.add(connection);
  }

  @Override
  public void onReceived(FrameConnection<I, O> connection, I message) {
    received.add(message);
  }

  @Override
  public void onClosed(FrameConnection<I, O> connection, CloseReason reason) {
    closed.add(reason);
  }

  FrameConnection<I, O> nextOpened() {
    return next(opened);
  }

  I nextReceived() {
    return next(received);
  }

  CloseReason nextClosed() {
    return next(closed);
  }

  private static <T> T next(BlockingQueue<T> queue) {
    try {
      T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (next == null) {
        throw new AssertionError("no event received within the timeout");
      }
      return next;
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }
}
