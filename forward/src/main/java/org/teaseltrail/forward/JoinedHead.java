package org.teaseltrail.forward;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import java.util.OptionalInt;
import org.teaseltrail.wire.http.EmbeddedStatusLine;

/**
 * Tells a head that is made of two answers from one that only quotes a status line.
 *
 * <p>An answer that breaks off in its head and the next one on the connection read as one head. A
 * harmless header may look the same, for example one that quotes a line of a log. Such a head is
 * taken for one if it makes no difference which of the two it is: what stands behind the quoted
 * line is a whole head with the same status, and nothing in front of it says more.
 */
final class JoinedHead {

  private JoinedHead() {}

  /** Returns whether a head may be made of two answers that would be answered differently. */
  static boolean isJoined(HttpResponse response, HeaderCodec headerCodec) {
    return EmbeddedStatusLine.isIn(response.status().reasonPhrase(), response.headers())
        && !isWholeBehindQuote(response, headerCodec);
  }

  private static boolean isWholeBehindQuote(HttpResponse response, HeaderCodec headerCodec) {
    HttpResponse before = new DefaultHttpResponse(response.protocolVersion(), response.status());
    HttpResponse behind = new DefaultHttpResponse(response.protocolVersion(), response.status());
    boolean quoted = false;
    for (Map.Entry<String, String> header : response.headers()) {
      OptionalInt status = EmbeddedStatusLine.statusAtEnd(header.getValue());
      if (!quoted && status.isPresent()) {
        quoted = status.getAsInt() == response.status().code();
      } else {
        (quoted ? behind : before).headers().add(header.getKey(), header.getValue());
      }
    }
    boolean isPlainElsewhere =
        !EmbeddedStatusLine.isIn(response.status().reasonPhrase(), before.headers())
            && !EmbeddedStatusLine.isIn("", behind.headers());
    return quoted && isPlainElsewhere && decidesAlone(behind, before, response, headerCodec);
  }

  private static boolean decidesAlone(
      HttpResponse behind, HttpResponse before, HttpResponse whole, HeaderCodec headerCodec) {
    ResponseHead own = headerCodec.readResponseHead(behind);
    ResponseHead all = headerCodec.readResponseHead(whole);
    boolean isFramed =
        HttpUtil.isContentLengthSet(behind) || HttpUtil.isTransferEncodingChunked(behind);
    return isFramed
        && own.requestId().isPresent()
        && own.requestId().equals(all.requestId())
        && own.signed() == all.signed()
        && before.headers().names().stream().noneMatch(behind.headers()::contains);
  }
}
