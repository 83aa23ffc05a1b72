package org.teaseltrail.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Keeps informational responses (1xx) from being taken for the response to a request.
 *
 * <p>The HTTP client skips {@code 100 Continue} only and takes any other for the final response, so
 * that callers would get a status by which nothing has been decided. An upgrade, which no request
 * asks for, and responses without end close the connection.
 */
final class InformationalResponseHandler extends ChannelInboundHandlerAdapter {

  /** Early responses may come as a sign of life, some each second. */
  private static final int MAX_RESPONSES = 100;

  private int responses;
  private boolean givenUp;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      responses++;
      givenUp |=
          responses > MAX_RESPONSES
              || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
      response.setStatus(HttpResponseStatus.CONTINUE);
    }
    if (givenUp) {
      ReferenceCountUtil.release(message);
      context.close();
    } else {
      context.fireChannelRead(message);
    }
  }
}
