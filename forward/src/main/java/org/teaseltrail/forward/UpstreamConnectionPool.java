package org.teaseltrail.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.NetUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Pool of HTTP connections to upstreams or to peers: keeps idle ones for reuse and opens new ones
 * on demand.
 *
 * @param <K> identifies what a connection leads to
 */
final class UpstreamConnectionPool<K> {

  /**
   * Maximum time to establish a connection. The data centres are a few milliseconds apart, and an
   * unresponsive upstream must not make a caller's request miss its latency objective.
   */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * Maximum number of idle connections per upstream; equals the number of requests that one VM has
   * in flight there at peak load.
   */
  private static final int MAX_IDLE = 12;

  private static final int MAX_PORT = 65_535;

  private final Map<K, Deque<UpstreamConnection>> idleConnections = new HashMap<>();
  private final Map<UpstreamConnection, K> owners = new HashMap<>();
  private final SharedEventLoop sharedLoop;
  private final HeaderCodec dialect;
  private final UpstreamConnectionListener<K> listener;

  /** Creates an empty pool. */
  UpstreamConnectionPool(
      SharedEventLoop sharedLoop, HeaderCodec dialect, UpstreamConnectionListener<K> listener) {
    this.sharedLoop = sharedLoop;
    this.dialect = dialect;
    this.listener = listener;
  }

  /**
   * Acquires an idle connection or opens a new one.
   *
   * @param target what the connection leads to
   * @param address its address
   * @param requestId id of the request that is to be sent
   * @param connected receives the connection
   * @param failed called if no connection could be established; nothing was sent then
   */
  void acquire(
      K target,
      SocketAddress address,
      String requestId,
      Consumer<UpstreamConnection> connected,
      Runnable failed) {
    takeIdle(target, requestId)
        .ifPresentOrElse(connected, () -> open(target, address, connected, failed));
  }

  /** Takes the idle connection out of the pool that was used last and can carry a request. */
  Optional<UpstreamConnection> takeIdle(K target, String requestId) {
    Deque<UpstreamConnection> ready = idleConnections.getOrDefault(target, new ArrayDeque<>());
    closeExpired(ready);
    Iterator<UpstreamConnection> lastUsedFirst = ready.descendingIterator();
    while (lastUsedFirst.hasNext()) {
      UpstreamConnection kept = lastUsedFirst.next();
      if (kept.canCarry(requestId)) {
        lastUsedFirst.remove();
        return Optional.of(kept);
      }
    }
    return Optional.empty();
  }

  private static void closeExpired(Deque<UpstreamConnection> ready) {
    long nowNs = System.nanoTime();
    for (UpstreamConnection kept : List.copyOf(ready)) {
      if (!kept.isUsable(nowNs)) {
        ready.remove(kept);
        kept.close();
      }
    }
  }

  /** Takes an idle connection into the pool that was opened outside of it. */
  void adopt(K target, UpstreamConnection connection) {
    connection.markIdle();
    owners.put(connection, target);
    release(connection);
  }

  void release(UpstreamConnection connection) {
    K owner = owners.get(connection);
    if (owner == null) {
      connection.close();
      return;
    }
    Deque<UpstreamConnection> ready =
        idleConnections.computeIfAbsent(owner, key -> new ArrayDeque<>());
    ready.addLast(connection);
    if (ready.size() > MAX_IDLE) {
      ready.pollFirst().close();
    }
  }

  /** Closes the idle connections to a target. */
  void closeIdle(K target) {
    Deque<UpstreamConnection> ready = idleConnections.remove(target);
    if (ready != null) {
      ready.forEach(UpstreamConnection::close);
    }
  }

  /** Removes a connection that has ended. */
  void remove(UpstreamConnection connection, boolean isLost) {
    K owner = owners.remove(connection);
    Deque<UpstreamConnection> ready = owner == null ? null : idleConnections.get(owner);
    if (ready != null) {
      ready.remove(connection);
      if (ready.isEmpty()) {
        idleConnections.remove(owner);
      }
    }
    if (owner != null && isLost) {
      listener.onLost(owner);
    }
  }

  /** Passes on that a connection has received an unexpected answer. */
  void onUnexpectedAnswer(UpstreamConnection connection, UnexpectedAnswer answer) {
    K owner = owners.get(connection);
    if (owner != null) {
      listener.onUnexpectedAnswer(owner, answer);
    }
  }

  /** Passes on an unexpected exception on a connection, which is closed. */
  void onFailed(Throwable failure) {
    listener.onFailed(failure);
  }

  /** Opens a new connection, even if there is an idle one. */
  private void open(
      K target, SocketAddress address, Consumer<UpstreamConnection> connected, Runnable failed) {
    openUnregistered(
        address,
        CONNECT_TIMEOUT_MS,
        connection -> {
          owners.put(connection, target);
          listener.onOpened(target);
          connected.accept(connection);
        },
        failed);
  }

  /**
   * Opens a connection of which the pool knows nothing, unless it is adopted: neither its start nor
   * its end is notified.
   */
  void openUnregistered(
      SocketAddress address,
      int timeoutMs,
      Consumer<UpstreamConnection> connected,
      Runnable failed) {
    if (!isReachable(address)) {
      sharedLoop.loop().execute(failed);
      return;
    }
    UpstreamConnection connection = new UpstreamConnection(this, dialect);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(sharedLoop.loop())
            .channelFactory(() -> sharedLoop.newChannel(SocketChannel.class))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(initializer(connection));
    TcpKeepAliveOptions.applyTo(bootstrap);
    ChannelFuture connecting = bootstrap.connect(address.host(), address.port());
    // Without a free descriptor there is no channel, and another thread tells the failure.
    connecting.addListener(
        done ->
            sharedLoop.run(
                () -> {
                  if (done.isSuccess()) {
                    connected.accept(connection);
                  } else {
                    failed.run();
                  }
                }));
  }

  /** Returns false for a name: looking it up would block all connections of this VM. */
  private static boolean isReachable(SocketAddress address) {
    return address.port() > 0
        && address.port() <= MAX_PORT
        && NetUtil.createByteArrayFromIpAddressString(address.host()) != null;
  }

  private static ChannelInitializer<Channel> initializer(UpstreamConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        connection.addTo(channel.pipeline());
      }
    };
  }
}
