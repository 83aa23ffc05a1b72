package org.teaseltrail.load.http;

/** Tells that an answer isn't what the protocol says. */
final class MalformedAnswerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedAnswerException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
