package org.teaseltrail.wire.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Collects what a decoder makes of the first answer on a connection. */
final class DecodedAnswer extends SimpleChannelInboundHandler<HttpObject> {

  private final StringBuilder text = new StringBuilder();
  private final CompletableFuture<Boolean> end = new CompletableFuture<>();
  private boolean isFinal;

  /** Completes at the end of the answer, with whether it was whole. */
  CompletableFuture<Boolean> end() {
    return end;
  }

  /** Returns status and body as far as they were decoded. */
  String text() {
    return text.toString();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (end.isDone()) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      end.complete(false);
      return;
    }
    if (message instanceof HttpResponse head) {
      isFinal = head.status().code() >= 200;
      text.append(isFinal ? head.status().code() + " " : "");
    }
    if (message instanceof HttpContent part) {
      text.append(part.content().toString(StandardCharsets.ISO_8859_1));
    }
    if (message instanceof LastHttpContent && isFinal) {
      end.complete(true);
    }
  }
}
