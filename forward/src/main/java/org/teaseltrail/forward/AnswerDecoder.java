package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the answers on a connection, and tells which received bytes are part of none so far. */
final class AnswerDecoder extends HttpResponseDecoder {

  private HttpMethod method = HttpMethod.GET;

  AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Sets the method of the request that is sent now; the framing of its answer depends on it. */
  void setMethod(HttpMethod next) {
    method = next;
  }

  /** Returns the number of bytes that were received and don't make a whole part of an answer. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Returns whether an answer makes the connection one that carries no HTTP any more. */
  boolean endsHttp(HttpResponse response) {
    boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
    return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
        || (isSuccess && method.equals(HttpMethod.CONNECT));
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    return (isFinal && method.equals(HttpMethod.HEAD)) || super.isContentAlwaysEmpty(message);
  }
}
