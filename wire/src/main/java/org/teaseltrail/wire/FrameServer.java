package org.teaseltrail.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.teaseltrail.core.upstream.SocketAddress;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Accepts connections on one port from all client types that it has an endpoint for. The first
 * frame of a connection, the handshake, names the client type.
 */
public final class FrameServer implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(FrameServer.class.getName());

  private final MessageCodec codec;
  private final FrameLimits limits;
  private final Map<ClientType, FrameEndpoint<?, ?>> endpoints = new EnumMap<>(ClientType.class);
  private final Set<FrameChannel> channels = ConcurrentHashMap.newKeySet();
  private final DisposableServer server;

  private FrameServer(
      SocketAddress address,
      FrameLimits limits,
      MessageCodec codec,
      List<FrameEndpoint<?, ?>> supportedEndpoints) {
    this.codec = codec;
    this.limits = limits;
    supportedEndpoints.forEach(endpoint -> endpoints.put(endpoint.speaker(), endpoint));
    this.server =
        TcpServer.create()
            .host(address.host())
            .port(address.port())
            .doOnConnection(this::accept)
            .bindNow();
  }

  /**
   * Starts a server on an address.
   *
   * @param address the address; port zero selects a free port
   * @param limits resource limits of each connection
   * @param codec encodes and decodes the messages
   * @param endpoints one for each supported client type
   * @return the listening server
   * @throws reactor.netty.ChannelBindException if binding to the address fails
   */
  public static FrameServer listen(
      SocketAddress address,
      FrameLimits limits,
      MessageCodec codec,
      FrameEndpoint<?, ?>... endpoints) {
    return new FrameServer(address, limits, codec, Arrays.asList(endpoints));
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the TCP port
   */
  public int port() {
    return ((InetSocketAddress) server.address()).getPort();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    server.disposeNow();
    channels.forEach(channel -> channel.end(CloseReason.CLOSED_HERE));
  }

  private void accept(Connection connection) {
    FrameChannel channel = new FrameChannel(connection, limits);
    channels.add(channel);
    channel.closeFuture().thenAccept(reason -> channels.remove(channel));
    channel.subscribe(new HandshakeReceiver(channel));
  }

  private <I, O> TypedConnection<I, O> open(
      FrameChannel channel, ConnectionHandshake handshake, FrameEndpoint<I, O> endpoint) {
    TypedConnection<I, O> typedConnection =
        new TypedConnection<>(channel, handshake, endpoint, codec, limits);
    typedConnection.open();
    return typedConnection;
  }

  /** Reads the handshake from the first frame and forwards later frames to the connection. */
  private final class HandshakeReceiver implements FrameChannel.FrameReceiver {

    private final FrameChannel channel;
    private CompletableFuture<TypedConnection<?, ?>> typedConnection;

    HandshakeReceiver(FrameChannel channel) {
      this.channel = channel;
    }

    @Override
    public void onFrame(byte[] body) {
      if (typedConnection == null) {
        typedConnection = new CompletableFuture<>();
        acceptHandshake(body);
      } else if (typedConnection.isDone()) {
        typedConnection.join().onFrame(body);
      }
    }

    private void acceptHandshake(byte[] body) {
      ConnectionHandshake handshake;
      try {
        handshake = codec.decode(ConnectionHandshake.class, body);
      } catch (MalformedMessageException failure) {
        LOGGER.log(Level.WARNING, "[wire] malformed handshake refused: {0}", failure.getMessage());
        channel.end(CloseReason.MALFORMED_MESSAGE);
        return;
      }
      FrameEndpoint<?, ?> endpoint = endpoints.get(handshake.speaker());
      if (endpoint == null || handshake.protocolVersion() != ConnectionHandshake.PROTOCOL_VERSION) {
        LOGGER.log(Level.WARNING, "[wire] unsupported handshake refused: {0}", handshake);
        channel.end(CloseReason.OPENING_REFUSED);
        return;
      }
      typedConnection.complete(open(channel, handshake, endpoint));
    }
  }
}
