package org.teaseltrail.forward;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Makes answers of this system's own. */
final class OwnAnswer {

  private OwnAnswer() {}

  /**
   * Makes an answer that tells a reason.
   *
   * @param dialect names the headers
   * @param requestId the caller's id, empty if there is none
   * @param retryAfterMs when the caller may come back, in milliseconds, 0 for nothing to say
   */
  static FullHttpResponse of(
      HeaderDialect dialect,
      HttpResponseStatus status,
      String reason,
      String requestId,
      long retryAfterMs) {
    byte[] body = ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    HttpUtil.setContentLength(answer, body.length);
    dialect.writeRefusal(answer.headers(), requestId, retryAfterMs);
    return answer;
  }
}
