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
 * Takes connections on one port for every kind of speaker that it has an endpoint for. The first
 * frame of a connection tells which.
 */
public final class FrameServer implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(FrameServer.class.getName());

  private final MessageCodec codec;
  private final FrameLimits limits;
  private final Map<SpeakerKind, FrameEndpoint<?, ?>> endpoints = new EnumMap<>(SpeakerKind.class);
  private final Set<FrameChannel> channels = ConcurrentHashMap.newKeySet();
  private final DisposableServer server;

  private FrameServer(
      SocketAddress address,
      FrameLimits limits,
      MessageCodec codec,
      List<FrameEndpoint<?, ?>> spoken) {
    this.codec = codec;
    this.limits = limits;
    spoken.forEach(endpoint -> endpoints.put(endpoint.speaker(), endpoint));
    this.server =
        TcpServer.create()
            .host(address.host())
            .port(address.port())
            .doOnConnection(this::accept)
            .bindNow();
  }

  /**
   * Listens on an address.
   *
   * @param address the address; port zero lets the machine choose
   * @param limits what each connection may cost
   * @param codec writes and reads the messages
   * @param endpoints one for each kind of speaker that may connect
   * @return the server, already listening
   * @throws reactor.netty.ChannelBindException if the address can't be had
   */
  public static FrameServer listen(
      SocketAddress address,
      FrameLimits limits,
      MessageCodec codec,
      FrameEndpoint<?, ?>... endpoints) {
    return new FrameServer(address, limits, codec, Arrays.asList(endpoints));
  }

  /**
   * Returns the port that it listens on.
   *
   * @return the TCP port
   */
  public int port() {
    return ((InetSocketAddress) server.address()).getPort();
  }

  /** Stops listening and ends every connection. */
  @Override
  public void close() {
    server.disposeNow();
    channels.forEach(channel -> channel.end(CloseReason.CLOSED_HERE));
  }

  private void accept(Connection connection) {
    FrameChannel channel = new FrameChannel(connection, limits);
    channels.add(channel);
    channel.closed().thenAccept(reason -> channels.remove(channel));
    channel.read(new OpeningReceiver(channel));
  }

  private <I, O> TypedConnection<I, O> open(
      FrameChannel channel, ConnectionOpening opening, FrameEndpoint<I, O> endpoint) {
    TypedConnection<I, O> typed = new TypedConnection<>(channel, opening, endpoint, codec, limits);
    typed.open();
    return typed;
  }

  /** Reads the opening from the first frame and passes the others to the typed connection. */
  private final class OpeningReceiver implements FrameChannel.FrameReceiver {

    private final FrameChannel channel;
    private CompletableFuture<TypedConnection<?, ?>> typed;

    OpeningReceiver(FrameChannel channel) {
      this.channel = channel;
    }

    @Override
    public void received(byte[] body) {
      if (typed == null) {
        typed = new CompletableFuture<>();
        opened(body);
      } else if (typed.isDone()) {
        typed.join().received(body);
      }
    }

    private void opened(byte[] body) {
      ConnectionOpening opening;
      try {
        opening = codec.decode(ConnectionOpening.class, body);
      } catch (MalformedMessageException failure) {
        LOGGER.log(Level.WARNING, "[wire] refused an opening: {0}", failure.getMessage());
        channel.end(CloseReason.MALFORMED_MESSAGE);
        return;
      }
      FrameEndpoint<?, ?> endpoint = endpoints.get(opening.speaker());
      if (endpoint == null || opening.protocolVersion() != ConnectionOpening.PROTOCOL_VERSION) {
        LOGGER.log(Level.WARNING, "[wire] refused the opening {0}", opening);
        channel.end(CloseReason.OPENING_REFUSED);
        return;
      }
      typed.complete(open(channel, opening, endpoint));
    }
  }
}
