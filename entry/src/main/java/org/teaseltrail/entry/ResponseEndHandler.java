package org.teaseltrail.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Closes a connection that the upstream has closed in order; what it sent is read by now. With half
 * closure allowed, the connection would stay open.
 */
final class ResponseEndHandler extends ChannelInboundHandlerAdapter {

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    context.fireUserEventTriggered(event);
    if (event instanceof ChannelInputShutdownEvent) {
      context.close();
    }
  }
}
