package org.teaseltrail.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import reactor.netty.Connection;

/** Is the frame layer of one connection: length prefix, bounds, keepalives and its one end. */
final class FrameChannel {

  private static final int LENGTH_BYTES = 4;
  private static final byte[] KEEPALIVE = {};

  private final Channel channel;
  private final Connection connection;
  private final FrameLimits limits;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final CompletableFuture<CloseReason> closed = new CompletableFuture<>();

  FrameChannel(Connection connection, FrameLimits limits) {
    this.connection = connection;
    this.channel = connection.channel();
    this.limits = limits;
    connection.addHandlerLast("frame-out", new LengthFieldPrepender(LENGTH_BYTES));
    connection.addHandlerLast(
        "frame-in",
        new LengthFieldBasedFrameDecoder(limits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    connection.onReadIdle(limits.idleTimeoutMs(), () -> end(CloseReason.IDLE));
    connection.onWriteIdle(limits.keepaliveMs(), () -> write(KEEPALIVE));
    channel.closeFuture().addListener(future -> end(CloseReason.CLOSED_BY_PEER));
  }

  /** Passes on the bodies of frames in order, keepalives left out, until the connection ends. */
  void read(FrameReceiver receiver) {
    connection
        .inbound()
        .receive()
        .asByteArray()
        .filter(body -> body.length > 0 && !ended.get())
        .subscribe(receiver::received, failure -> end(reasonOf(failure)));
  }

  /**
   * Queues a frame. Guards against a peer that holds its connection open and doesn't read, which
   * would show as memory growing until the process dies. The guard holds because every byte is
   * counted from here until the socket has taken it, and the count is bounded.
   *
   * @return whether the frame was queued
   */
  boolean write(byte[] body) {
    if (ended.get()) {
      return false;
    }
    long waitingBytes = queuedBytes.addAndGet(body.length + LENGTH_BYTES);
    if (waitingBytes > limits.maxQueuedBytes() + LENGTH_BYTES) {
      end(CloseReason.PEER_NOT_READING);
      return false;
    }
    channel
        .writeAndFlush(Unpooled.wrappedBuffer(body))
        .addListener(future -> written((ChannelFuture) future, body.length + LENGTH_BYTES));
    return true;
  }

  /** Ends the connection; only the first reason counts. It is told on the event loop. */
  void end(CloseReason reason) {
    if (ended.compareAndSet(false, true)) {
      channel.close();
      channel.eventLoop().execute(() -> closed.complete(reason));
    }
  }

  CompletableFuture<CloseReason> closed() {
    return closed;
  }

  private void written(ChannelFuture future, int sizeBytes) {
    queuedBytes.addAndGet(-sizeBytes);
    if (!future.isSuccess()) {
      end(CloseReason.TRANSPORT_FAILED);
    }
  }

  private static CloseReason reasonOf(Throwable failure) {
    if (failure instanceof TooLongFrameException) {
      return CloseReason.FRAME_TOO_LARGE;
    }
    if (failure instanceof DecoderException) {
      return CloseReason.MALFORMED_MESSAGE;
    }
    return CloseReason.TRANSPORT_FAILED;
  }

  /** Takes the body of a frame. */
  @FunctionalInterface
  interface FrameReceiver {
    void received(byte[] body);
  }
}
