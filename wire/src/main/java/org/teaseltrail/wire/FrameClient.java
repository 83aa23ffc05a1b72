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
 * Maintains one connection to an address and reconnects with backoff whenever it closes, until the
 * client is closed.
 *
 * @param <I> the sealed interface of inbound messages
 * @param <O> the sealed interface of outbound messages
 */
public final class FrameClient<I, O> implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(FrameClient.class.getName());

  private final LoopResources loops;
  private final SocketAddress address;
  private final ConnectionHandshake handshake;
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
    this.handshake = ConnectionHandshake.of(endpoint.speaker(), speakerId);
    this.endpoint = endpoint;
    this.limits = limits;
    this.codec = codec;
    this.backoff = backoff;
  }

  /**
   * Creates a client and starts to connect on the event loops shared by the whole process.
   *
   * @param address address of the server
   * @param speakerId id of this process, a VM id or member id as text
   * @param endpoint message types and listener of the client
   * @param limits resource limits of the connection
   * @param codec encodes and decodes the messages
   * @param backoff delays between connection attempts
   * @param <I> the sealed interface of inbound messages
   * @param <O> the sealed interface of outbound messages
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
   * Creates a client and starts to connect on the given event loops.
   *
   * @param loops event loops for the connection and its timers
   * @param address address of the server
   * @param speakerId id of this process, a VM id or member id as text
   * @param endpoint message types and listener of the client
   * @param limits resource limits of the connection
   * @param codec encodes and decodes the messages
   * @param backoff delays between connection attempts
   * @param <I> the sealed interface of inbound messages
   * @param <O> the sealed interface of outbound messages
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
   * Returns the current connection, or empty while disconnected.
   *
   * @return the open connection
   */
  public Optional<FrameConnection<I, O>> connection() {
    return Optional.ofNullable(current);
  }

  /**
   * Sends a message if the client is connected.
   *
   * @param message the message
   * @return whether it was queued
   * @throws FrameTooLargeException if the message exceeds the maximum frame size
   */
  public boolean send(O message) {
    TypedConnection<I, O> connection = current;
    return connection != null && connection.send(message);
  }

  /** Closes the connection and stops reconnecting. */
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
        .subscribe(this::onConnected, this::failed);
  }

  private void onConnected(Connection connection) {
    connection.channel().eventLoop().execute(() -> open(connection));
  }

  private void open(Connection connection) {
    FrameChannel frames = new FrameChannel(connection, limits);
    TypedConnection<I, O> typedConnection =
        new TypedConnection<>(frames, handshake, endpoint, codec, limits);
    frames.write(codec.encode(ConnectionHandshake.class, handshake));
    current = typedConnection;
    typedConnection.open();
    frames.closeFuture().thenAccept(this::onConnectionClosed);
    frames.subscribe(
        body -> {
          backoff.reset();
          typedConnection.onFrame(body);
        });
    if (closing.get()) {
      typedConnection.close();
    }
  }

  private void onConnectionClosed(CloseReason reason) {
    LOGGER.log(Level.DEBUG, "[wire] connection to {0} closed: {1}", address, reason);
    current = null;
    scheduleReconnect();
  }

  private void failed(Throwable failure) {
    LOGGER.log(Level.DEBUG, "[wire] failed to connect to {0}: {1}", address, failure.toString());
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (!closing.get()) {
      loops
          .onClient(LoopResources.DEFAULT_NATIVE)
          .schedule(this::attempt, backoff.nextDelayMs(), TimeUnit.MILLISECONDS);
    }
  }
}
