package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;

/** Encodes the requests of a connection, and tells its decoder what their answers depend on. */
public final class RequestEncoder extends HttpRequestEncoder {

  private final RequestProgress progress;

  /**
   * Creates an encoder for one connection.
   *
   * @param decoder decoder of the answers on the same connection
   */
  public RequestEncoder(AnswerDecoder decoder) {
    progress = decoder.request();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpRequest request) {
      progress.start(request.method());
    }
    if (hasBytes(message)) {
      progress.addBody();
    }
    super.write(
        context, message, message instanceof LastHttpContent ? reportingWrite(promise) : promise);
  }

  private static boolean hasBytes(Object message) {
    return (message instanceof ByteBuf part && part.isReadable())
        || (message instanceof ByteBufHolder holder && holder.content().isReadable());
  }

  private ChannelPromise reportingWrite(ChannelPromise promise) {
    return promise
        .unvoid()
        .addListener(
            write -> {
              if (write.isSuccess()) {
                progress.end();
              }
            });
  }
}
