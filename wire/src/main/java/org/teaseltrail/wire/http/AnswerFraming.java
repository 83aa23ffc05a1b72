package org.teaseltrail.wire.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;

/** Tells where an answer ends. */
public final class AnswerFraming {

  private AnswerFraming() {}

  /**
   * Returns whether only the end of its connection ends the answer to a request.
   *
   * @param response the head of the answer
   * @param method the method of the request
   * @return true if the answer has neither a length nor chunks
   */
  public static boolean endsWithConnection(HttpResponse response, HttpMethod method) {
    boolean hasNoBody =
        method.equals(HttpMethod.HEAD)
            || response.status().equals(HttpResponseStatus.NO_CONTENT)
            || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    return !hasNoBody
        && !HttpUtil.isContentLengthSet(response)
        && !HttpUtil.isTransferEncodingChunked(response);
  }

  /**
   * Returns whether the transfer coding of an answer is one that the decoder undoes. What any other
   * coding leaves in the body, chunks for one, would be taken for what the upstream has answered.
   *
   * @param response the head of the answer
   * @return true if it has no coding, or chunks alone
   */
  static boolean isKnown(HttpResponse response) {
    List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || (codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)));
  }
}
