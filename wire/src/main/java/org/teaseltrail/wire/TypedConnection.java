package org.teaseltrail.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;

/** Puts typed messages onto a frame layer and hands those that come to a listener. */
final class TypedConnection<I, O> implements FrameConnection<I, O> {

  private static final Logger LOGGER = System.getLogger(TypedConnection.class.getName());

  private final FrameChannel frames;
  private final ConnectionOpening opening;
  private final FrameEndpoint<I, O> endpoint;
  private final MessageEncoder<O> encoder;
  private final MessageDecoder<I> decoder;
  private final FrameLimits limits;

  TypedConnection(
      FrameChannel frames,
      ConnectionOpening opening,
      FrameEndpoint<I, O> endpoint,
      MessageCodec codec,
      FrameLimits limits) {
    this.frames = frames;
    this.opening = opening;
    this.endpoint = endpoint;
    this.encoder = MessageEncoder.of(endpoint.outType(), codec);
    this.decoder = MessageDecoder.of(endpoint.inType(), codec);
    this.limits = limits;
  }

  /** Tells the listener that the connection is open, and later that it has ended. */
  void open() {
    endpoint.listener().opened(this);
    frames.closed().thenAccept(this::ended);
  }

  /** Takes the body of a frame that has come. */
  void received(byte[] body) {
    I message;
    try {
      message = decoder.decode(body);
    } catch (MalformedMessageException failure) {
      LOGGER.log(
          Level.WARNING,
          "[wire] bad message of {0}: {1}",
          opening.speakerId(),
          failure.getMessage());
      frames.end(CloseReason.MALFORMED_MESSAGE);
      return;
    }
    deliver(message);
  }

  @Override
  public ConnectionOpening opening() {
    return opening;
  }

  /** Queues a message. The lock keeps the order of encoding the same as that of the frames. */
  @Override
  public boolean send(O message) {
    synchronized (encoder) {
      byte[] body = encoder.encode(message);
      if (body.length > limits.maxFrameBytes()) {
        throw new FrameTooLargeException(message.getClass(), body.length, limits.maxFrameBytes());
      }
      boolean queued = frames.write(body);
      if (queued) {
        encoder.sent(message);
      }
      return queued;
    }
  }

  @Override
  public CompletableFuture<CloseReason> closed() {
    return frames.closed();
  }

  @Override
  public void close() {
    frames.end(CloseReason.CLOSED_HERE);
  }

  private void ended(CloseReason reason) {
    LOGGER.log(Level.INFO, "[wire] connection of {0} ended: {1}", opening.speakerId(), reason);
    endpoint.listener().closed(this, reason);
  }

  private void deliver(I message) {
    try {
      endpoint.listener().received(this, message);
    } catch (RuntimeException failure) {
      LOGGER.log(Level.ERROR, "[wire] listener failed", failure);
      frames.end(CloseReason.LISTENER_FAILED);
    }
  }
}
