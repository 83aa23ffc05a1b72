package org.teaseltrail.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Puts the parts of a request together, and leaves to its connection what is answered before the
 * request is whole.
 *
 * <p>Guards against refusals that a caller takes for the answer to the request before: the base
 * class writes them at once, though earlier requests of the connection may await their answers.
 */
final class RequestAggregator extends HttpObjectAggregator {

  /** Receives what becomes known of a request from its head. */
  interface Listener {

    /** The body is larger than allowed, and isn't read. */
    void onTooLarge();

    /** The caller waits for a sign to send the body. */
    void onContinueExpected();

    /** The caller expects what isn't supported. */
    void onUnsupportedExpectation();
  }

  private final Listener listener;

  RequestAggregator(int maxBodyBytes, Listener listener) {
    super(maxBodyBytes);
    this.listener = listener;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxBodyBytes, ChannelPipeline pipeline) {
    boolean isExpecting = start.headers().contains(HttpHeaderNames.EXPECT);
    if (!isExpecting || start.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
      return null;
    }
    boolean fits = HttpUtil.getContentLength(start, -1L) <= maxBodyBytes;
    if (!HttpUtil.is100ContinueExpected(start)) {
      listener.onUnsupportedExpectation();
    } else if (fits) {
      listener.onContinueExpected();
    }
    start.headers().remove(HttpHeaderNames.EXPECT);
    return null;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    listener.onTooLarge();
  }
}
