package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers on a connection, and tells which received bytes are part of none so far. */
final class AnswerDecoder extends HttpResponseDecoder {

  AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Returns the number of bytes that were received and don't make a whole part of an answer. */
  int undecodedBytes() {
    return actualReadableBytes();
  }
}
