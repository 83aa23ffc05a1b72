package org.teaseltrail.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.teaseltrail.core.plan.ClientLimits;

/**
 * Takes callers' connections. A request reaches its {@link CallerConnection} whole, within the
 * plan's limits; what is longer or no HTTP is refused there.
 */
final class CallerListener extends ChannelInitializer<Channel> {

  /** Connections that wait to be taken; more than a data centre's callers open at once. */
  private static final int BACKLOG = 1_024;

  /** Longest first line of a request. */
  private static final int MAX_LINE_BYTES = 8 * 1024;

  /** Pieces in which a body is read; bounds what is copied at once. */
  private static final int CHUNK_BYTES = 16 * 1024;

  private final ForwardServer server;

  private CallerListener(ForwardServer server) {
    this.server = server;
  }

  /**
   * Listens for callers.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for the port
   */
  static Channel bind(ForwardServer server, SharedEventLoop sharedLoop, InetSocketAddress address)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(sharedLoop.loop())
        .channelFactory(() -> sharedLoop.channel(ServerSocketChannel.class))
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new CallerListener(server))
        .bind(address)
        .sync()
        .channel();
  }

  @Override
  protected void initChannel(Channel channel) {
    ClientLimits limits = server.limits();
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setMaxChunkSize(CHUNK_BYTES);
    CallerConnection caller = new CallerConnection(server);
    channel
        .pipeline()
        .addLast(
            new FirstBytes(caller),
            new HttpServerCodec(config),
            new HttpObjectAggregator(limits.maxBodyBytes(), true),
            caller);
  }

  /** Tells a connection of bytes before they are understood. */
  private static final class FirstBytes extends ChannelInboundHandlerAdapter {

    private final CallerConnection caller;

    FirstBytes(CallerConnection caller) {
      this.caller = caller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      caller.bytesCame();
      context.fireChannelRead(message);
    }
  }
}
