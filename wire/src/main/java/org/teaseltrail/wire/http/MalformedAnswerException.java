package org.teaseltrail.wire.http;

import io.netty.handler.codec.CodecException;

/** The bytes that were received where an answer is due are no well-formed answer of HTTP/1. */
public final class MalformedAnswerException extends CodecException {

  private static final long serialVersionUID = 1;

  MalformedAnswerException(String message) {
    super(message);
  }
}
