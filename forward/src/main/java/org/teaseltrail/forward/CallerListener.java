package org.teaseltrail.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.teaseltrail.core.plan.ClientLimits;

/**
 * Accepts callers' connections and sets up their pipelines. A request reaches its {@link
 * CallerConnection} complete and within the limits of the plan; oversized or malformed requests are
 * refused there.
 */
final class CallerListener extends ChannelInitializer<Channel> {

  /**
   * Maximum number of connections that wait to be accepted; more than the callers of a data centre
   * open at once.
   */
  private static final int BACKLOG = 1_024;

  /** Maximum size of the chunks in which a body is read; bounds the bytes copied at once. */
  private static final int CHUNK_BYTES = 16 * 1024;

  private final ForwardServer server;
  private final boolean isForPeers;

  private CallerListener(ForwardServer server, boolean isForPeers) {
    this.server = server;
    this.isForPeers = isForPeers;
  }

  /**
   * Starts to listen for callers.
   *
   * @param isForPeers whether peers connect to relay requests, instead of callers
   * @throws InterruptedException if the thread is interrupted while it waits for the port
   */
  static Channel bind(
      ForwardServer server,
      SharedEventLoop sharedLoop,
      InetSocketAddress address,
      boolean isForPeers)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(sharedLoop.loop())
        .channelFactory(() -> sharedLoop.newChannel(ServerSocketChannel.class))
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new CallerListener(server, isForPeers))
        .bind(address)
        .sync()
        .channel();
  }

  @Override
  protected void initChannel(Channel channel) {
    ClientLimits limits = server.limits();
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes() + (isForPeers ? RelayHeaders.MAX_BYTES : 0))
            .setMaxChunkSize(CHUNK_BYTES);
    CallerConnection caller = new CallerConnection(server, isForPeers);
    BodyGate gate =
        new BodyGate(
            server.bodyBudget(),
            server.headBudget(),
            server.headerCodec(),
            limits.maxBodyBytes(),
            caller);
    caller.setGate(gate);
    HttpServerCodec codec = new HttpServerCodec(config);
    caller.setCodec(codec);
    channel
        .pipeline()
        .addLast(
            new ReceivedBytesNotifier(caller),
            codec,
            gate,
            new RequestAggregator(limits.maxBodyBytes(), caller),
            caller);
  }

  /** Notifies a connection of received bytes before and after they are decoded. */
  private static final class ReceivedBytesNotifier extends ChannelInboundHandlerAdapter {

    private final CallerConnection caller;

    ReceivedBytesNotifier(CallerConnection caller) {
      this.caller = caller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      long sizeBytes = HeadBudget.sizeBytes((ByteBuf) message);
      caller.onBytesReceived();
      context.fireChannelRead(message);
      caller.onBytesDecoded(sizeBytes);
    }
  }
}
