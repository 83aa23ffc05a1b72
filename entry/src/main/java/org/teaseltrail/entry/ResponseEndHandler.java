package org.teaseltrail.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Tells the end of an upstream's response from a connection that has failed.
 *
 * <p>A response without a length ends with its connection, but only if the upstream itself closes
 * it in order: with half closure allowed, the connection is still open when that end is read. After
 * a reset or a failed write it is closed already, and there may have been more to come; the decoder
 * reports the end of the response all the same.
 */
final class ResponseEndHandler extends ChannelInboundHandlerAdapter {

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent && !context.channel().isActive()) {
      ReferenceCountUtil.release(message);
      context.fireExceptionCaught(
          new PrematureChannelClosureException("the connection failed during the response"));
      return;
    }
    context.fireChannelRead(message);
  }

  /** Closes a connection that the upstream has closed in order; what it sent is read by now. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    context.fireUserEventTriggered(event);
    if (event instanceof ChannelInputShutdownEvent) {
      context.close();
    }
  }
}
