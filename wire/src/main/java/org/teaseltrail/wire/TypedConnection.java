package org.teaseltrail.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;

/** Encodes typed messages into frames and passes decoded inbound messages to a listener. */
final class TypedConnection<I, O> implements FrameConnection<I, O> {

  private static final Logger LOGGER = System.getLogger(TypedConnection.class.getName());

  private final FrameChannel frames;
  private final ConnectionHandshake handshake;
  private final FrameEndpoint<I, O> endpoint;
  private final MessageEncoder<O> encoder;
  private final MessageDecoder<I> decoder;
  private final FrameLimits limits;

  TypedConnection(
      FrameChannel frames,
      ConnectionHandshake handshake,
      FrameEndpoint<I, O> endpoint,
      MessageCodec codec,
      FrameLimits limits) {
    this.frames = frames;
    this.handshake = handshake;
    this.endpoint = endpoint;
    this.encoder = MessageEncoder.forType(endpoint.outboundType(), codec);
    this.decoder = MessageDecoder.forType(endpoint.inboundType(), codec);
    this.limits = limits;
  }

  /** Notifies the listener that the connection is open, and later that it has closed. */
  void open() {
    endpoint.listener().onOpened(this);
    frames.closeFuture().thenAccept(this::onConnectionClosed);
  }

  /** Decodes the body of an inbound frame and delivers the message. */
  void onFrame(byte[] body) {
    I message;
    try {
      message = decoder.decode(body);
    } catch (MalformedMessageException failure) {
      LOGGER.log(
          Level.WARNING,
          "[wire] malformed message from {0}: {1}",
          handshake.speakerId(),
          failure.getMessage());
      frames.end(CloseReason.MALFORMED_MESSAGE);
      return;
    }
    deliver(message);
  }

  @Override
  public ConnectionHandshake handshake() {
    return handshake;
  }

  /** Queues a message. The lock keeps encoding and writing in the same order. */
  @Override
  public boolean send(O message) {
    synchronized (encoder) {
      byte[] body = encoder.encode(message);
      if (body.length > limits.maxFrameBytes()) {
        throw new FrameTooLargeException(message.getClass(), body.length, limits.maxFrameBytes());
      }
      boolean queued = frames.write(body);
      if (queued) {
        encoder.onSent(message);
      }
      return queued;
    }
  }

  @Override
  public CompletableFuture<CloseReason> closeFuture() {
    return frames.closeFuture();
  }

  @Override
  public void close() {
    frames.end(CloseReason.CLOSED_HERE);
  }

  private void onConnectionClosed(CloseReason reason) {
    LOGGER.log(Level.INFO, "[wire] connection of {0} closed: {1}", handshake.speakerId(), reason);
    endpoint.listener().onClosed(this, reason);
  }

  private void deliver(I message) {
    try {
      endpoint.listener().onReceived(this, message);
    } catch (RuntimeException failure) {
      LOGGER.log(Level.ERROR, "[wire] connection listener threw an exception", failure);
      frames.end(CloseReason.LISTENER_FAILED);
    }
  }
}
