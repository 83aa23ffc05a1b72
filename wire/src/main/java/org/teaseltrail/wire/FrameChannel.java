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

/** Frame layer of one connection: length prefix, size limits, keepalives and closing. */
final class FrameChannel {

  private static final int LENGTH_BYTES = 4;
  private static final byte[] KEEPALIVE = {};

  private final Channel channel;
  private final Connection connection;
  private final FrameLimits limits;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final CompletableFuture<CloseReason> closeFuture = new CompletableFuture<>();

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

  /** Forwards inbound frame bodies in order, except keepalives, until the connection closes. */
  void subscribe(FrameReceiver receiver) {
    connection
        .inbound()
        .receive()
        .asByteArray()
        .filter(body -> body.length > 0 && !ended.get())
        .subscribe(receiver::onFrame, failure -> end(closeReasonOf(failure)));
  }

  /**
   * Queues a frame. A peer that keeps its connection open without reading would otherwise grow the
   * queue until the process runs out of memory. Therefore every byte is counted from here until it
   * is written to the socket, and the connection is closed once the count exceeds its limit.
   *
   * @return whether the frame was queued
   */
  boolean write(byte[] body) {
    if (ended.get()) {
      return false;
    }
    long queuedAfterWriteBytes = queuedBytes.addAndGet(body.length + LENGTH_BYTES);
    if (queuedAfterWriteBytes > limits.maxQueuedBytes() + LENGTH_BYTES) {
      end(CloseReason.PEER_NOT_READING);
      return false;
    }
    channel
        .writeAndFlush(Unpooled.wrappedBuffer(body))
        .addListener(future -> onWritten((ChannelFuture) future, body.length + LENGTH_BYTES));
    return true;
  }

  /** Closes the connection; only the first reason is reported, on the event loop. */
  void end(CloseReason reason) {
    if (ended.compareAndSet(false, true)) {
      channel.close();
      channel.eventLoop().execute(() -> closeFuture.complete(reason));
    }
  }

  CompletableFuture<CloseReason> closeFuture() {
    return closeFuture;
  }

  private void onWritten(ChannelFuture future, int sizeBytes) {
    queuedBytes.addAndGet(-sizeBytes);
    if (!future.isSuccess()) {
      end(CloseReason.TRANSPORT_FAILED);
    }
  }

  private static CloseReason closeReasonOf(Throwable failure) {
    if (failure instanceof TooLongFrameException) {
      return CloseReason.FRAME_TOO_LARGE;
    }
    if (failure instanceof DecoderException) {
      return CloseReason.MALFORMED_MESSAGE;
    }
    return CloseReason.TRANSPORT_FAILED;
  }

  /** Receives frame bodies. */
  @FunctionalInterface
  interface FrameReceiver {
    void onFrame(byte[] body);
  }
}
