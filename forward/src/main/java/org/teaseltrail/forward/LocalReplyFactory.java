package org.teaseltrail.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Creates local replies: responses that this system generates instead of an upstream. */
final class LocalReplyFactory {

  private LocalReplyFactory() {}

  /**
   * Creates a reply with an error reason in its JSON body.
   *
   * @param headerCodec writes the platform's headers
   * @param requestId id that the caller gave to the request, empty if there is none
   * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if it is unknown
   */
  static FullHttpResponse create(
      HeaderCodec headerCodec,
      HttpResponseStatus status,
      String reason,
      String requestId,
      long retryAfterMs) {
    byte[] body = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    HttpUtil.setContentLength(answer, body.length);
    headerCodec.writeRefusalHeaders(answer.headers(), requestId, retryAfterMs);
    return answer;
  }
}
