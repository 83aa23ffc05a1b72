package org.teaseltrail.entry;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Shuts down the output of a connection instead of closing it, and reads on for a short time
 * (lingering close).
 *
 * <p>A caller that still sends the body of a refused request would otherwise get a reset, which
 * discards the response that it has not read yet. What it sends is read and dropped.
 */
final class LingeringClose extends ChannelDuplexHandler {

  /** Time for a caller to send the rest of its body and to read the response. */
  private static final long LINGER_MS = 2_000;

  private boolean lingering;

  @Override
  public void close(ChannelHandlerContext context, ChannelPromise promise) {
    boolean canLinger = context.channel() instanceof DuplexChannel && context.channel().isActive();
    if (lingering || !canLinger) {
      context.close(promise);
      return;
    }
    lingering = true;
    ((DuplexChannel) context.channel()).shutdownOutput();
    context.channel().config().setAutoRead(true);
    context.executor().schedule(() -> context.close(promise), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (lingering) {
      ReferenceCountUtil.release(message);
    } else {
      context.fireChannelRead(message);
    }
  }
}
