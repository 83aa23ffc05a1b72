package org.teaseltrail.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.teaseltrail.wire.http.EmbeddedStatusLine;

/**
 * Gives up an upstream whose response is joined with another one that broke off in its head: a
 * caller would get the status of the one with the body of the other.
 */
final class JoinedHeadHandler extends ChannelInboundHandlerAdapter {

  private boolean givenUp;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    givenUp |=
        message instanceof HttpResponse response
            && EmbeddedStatusLine.isIn(response.status().reasonPhrase(), response.headers());
    if (givenUp) {
      ReferenceCountUtil.release(message);
      context.close();
    } else {
      context.fireChannelRead(message);
    }
  }
}
