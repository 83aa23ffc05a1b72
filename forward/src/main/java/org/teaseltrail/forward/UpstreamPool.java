package org.teaseltrail.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;

/** Keeps connections to upstreams that are idle, and makes new ones. */
final class UpstreamPool {

  /**
   * Time that a connect may take. The users' data centres are a few milliseconds apart, and an
   * upstream that has fallen silent must not cost a caller its objective.
   */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /** Idle connections kept for an upstream; as many requests as one VM has there at its busiest. */
  private static final int MAX_IDLE = 12;

  private static final int MAX_HEADER_BYTES = 32 * 1024;

  private final Map<UpstreamIncarnation, Deque<UpstreamConnection>> idle = new HashMap<>();
  private final Map<UpstreamConnection, UpstreamIncarnation> owners = new HashMap<>();
  private final SharedEventLoop sharedLoop;
  private final HeaderDialect dialect;

  UpstreamPool(SharedEventLoop sharedLoop, HeaderDialect dialect) {
    this.sharedLoop = sharedLoop;
    this.dialect = dialect;
  }

  /**
   * Takes an idle connection or makes one.
   *
   * @param upstream the upstream
   * @param connected hears of the connection
   * @param failed hears that there is none; nothing was sent
   */
  void connect(Registration upstream, Consumer<UpstreamConnection> connected, Runnable failed) {
    Deque<UpstreamConnection> ready = idle.get(upstream.upstreamIncarnation());
    long nowNs = System.nanoTime();
    while (ready != null && !ready.isEmpty()) {
      UpstreamConnection kept = ready.pollLast();
      if (kept.isUsable(nowNs)) {
        connected.accept(kept);
        return;
      }
      kept.close();
    }
    open(upstream, connected, failed);
  }

  void idle(UpstreamConnection connection) {
    UpstreamIncarnation owner = owners.get(connection);
    if (owner == null) {
      connection.close();
      return;
    }
    Deque<UpstreamConnection> ready = idle.computeIfAbsent(owner, key -> new ArrayDeque<>());
    ready.addLast(connection);
    if (ready.size() > MAX_IDLE) {
      ready.pollFirst().close();
    }
  }

  void forget(UpstreamConnection connection) {
    UpstreamIncarnation owner = owners.remove(connection);
    Deque<UpstreamConnection> ready = owner == null ? null : idle.get(owner);
    if (ready != null) {
      ready.remove(connection);
      if (ready.isEmpty()) {
        idle.remove(owner);
      }
    }
  }

  private void open(
      Registration upstream, Consumer<UpstreamConnection> connected, Runnable failed) {
    UpstreamConnection connection = new UpstreamConnection(this, dialect);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(sharedLoop.loop())
            .channelFactory(() -> sharedLoop.channel(SocketChannel.class))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(initializer(connection));
    SilenceProbes.addTo(bootstrap);
    ChannelFuture connecting =
        bootstrap.connect(upstream.address().host(), upstream.address().port());
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            owners.put(connection, upstream.upstreamIncarnation());
            connected.accept(connection);
          } else {
            failed.run();
          }
        });
  }

  private static ChannelInitializer<Channel> initializer(UpstreamConnection connection) {
    HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new HttpClientCodec(config, false, false), connection);
      }
    };
  }
}
