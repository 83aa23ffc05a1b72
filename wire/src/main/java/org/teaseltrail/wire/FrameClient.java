package org.teaseltrail.wire;

import io.netty.channel.ChannelOption;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.teaseltrail.core.upstream.SocketAddress;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpResources;

/**
 * Keeps one connection to one address, and makes it again with backoff whenever it ends, until the
 * client is closed.
 *
 * @param <I> the sealed interface of what comes in
 * @param <O> the sealed interface of what goes out
 */
public final class FrameClient<I, O> implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(FrameClient.class.getName());

  private final LoopResources loops;
  private final SocketAddress address;
  private final ConnectionOpening opening;
  private final FrameEndpoint<I, O> endpoint;
  private final FrameLimits limits;
  private final MessageCodec codec;
  private final ReconnectBackoff backoff;
  private final AtomicBoolean closing = new AtomicBoolean();
  private volatile TypedConnection<I, O> current;

  private FrameClient(
      LoopResources loops,
      SocketAddress address,
      String speakerId,
      FrameEndpoint<I, O> endpoint,
      FrameLimits limits,
      MessageCodec codec,
      ReconnectBackoff backoff) {
    this.loops = loops;
    this.address = address;
    this.opening = ConnectionOpening.of(endpoint.speaker(), speakerId);
    this.endpoint = endpoint;
    this.limits = limits;
    this.codec = codec;
    this.backoff = backoff;
  }

  /**
   * Starts to connect, on the event loops that all clients of the process share.
   *
   * @param address where the server listens
   * @param speakerId id of this process, a VM id or member id as text
   * @param endpoint what is spoken and who hears it
   * @param limits what the connection may cost
   * @param codec writes and reads the messages
   * @param backoff spaces the attempts
   * @param <I> the sealed interface of what comes in
   * @param <O> the sealed interface of what goes out
   * @return the client
   */
  public static <I, O> FrameClient<I, O> connect(
      SocketAddress address,
      String speakerId,
      FrameEndpoint<I, O> endpoint,
      FrameLimits limits,
      MessageCodec codec,
      ReconnectBackoff backoff) {
    return connect(TcpResources.get(), address, speakerId, endpoint, limits, codec, backoff);
  }

  /**
   * Starts to connect on given event loops.
   *
   * @param loops carry the connection and its timers
   * @param address where the server listens
   * @param speakerId id of this process, a VM id or member id as text
   * @param endpoint what is spoken and who hears it
   * @param limits what the connection may cost
   * @param codec writes and reads the messages
   * @param backoff spaces the attempts
   * @param <I> the sealed interface of what comes in
   * @param <O> the sealed interface of what goes out
   * @return the client
   */
  public static <I, O> FrameClient<I, O> connect(
      LoopResources loops,
      SocketAddress address,
      String speakerId,
      FrameEndpoint<I, O> endpoint,
      FrameLimits limits,
      MessageCodec codec,
      ReconnectBackoff backoff) {
    FrameClient<I, O> client =
        new FrameClient<>(loops, address, speakerId, endpoint, limits, codec, backoff);
    client.attempt();
    return client;
  }

  /**
   * Returns the connection if there is one now.
   *
   * @return the open connection
   */
  public Optional<FrameConnection<I, O>> connection() {
    return Optional.ofNullable(current);
  }

  /**
   * Sends a message if there is a connection now.
   *
   * @param message the message
   * @return whether it was queued
   * @throws FrameTooLargeException if the message passes the limit of a frame
   */
  public boolean send(O message) {
    TypedConnection<I, O> connection = current;
    return connection != null && connection.send(message);
  }

  /** Ends the connection and makes no other. */
  @Override
  public void close() {
    closing.set(true);
    TypedConnection<I, O> connection = current;
    if (connection != null) {
      connection.close();
    }
  }

  private void attempt() {
    if (closing.get()) {
      return;
    }
    TcpClient.newConnection()
        .runOn(loops)
        .host(address.host())
        .port(address.port())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs())
        .connect()
        .subscribe(this::connected, this::failed);
  }

  private void connected(Connection connection) {
    connection.channel().eventLoop().execute(() -> open(connection));
  }

  private void open(Connection connection) {
    FrameChannel frames = new FrameChannel(connection, limits);
    TypedConnection<I, O> typed = new TypedConnection<>(frames, opening, endpoint, codec, limits);
    frames.write(codec.encode(ConnectionOpening.class, opening));
    current = typed;
    typed.open();
    frames.closed().thenAccept(this::ended);
    frames.read(
        body -> {
          backoff.reset();
          typed.received(body);
        });
    if (closing.get()) {
      typed.close();
    }
  }

  private void ended(CloseReason reason) {
    LOGGER.log(Level.DEBUG, "[wire] connection to {0} ended: {1}", address, reason);
    current = null;
    attemptLater();
  }

  private void failed(Throwable failure) {
    LOGGER.log(Level.DEBUG, "[wire] no connection to {0}: {1}", address, failure.toString());
    attemptLater();
  }

  private void attemptLater() {
    if (!closing.get()) {
      loops
          .onClient(LoopResources.DEFAULT_NATIVE)
          .schedule(this::attempt, backoff.nextDelayMs(), TimeUnit.MILLISECONDS);
    }
  }
}
