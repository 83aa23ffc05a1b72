package org.teaseltrail.wire.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

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
}
