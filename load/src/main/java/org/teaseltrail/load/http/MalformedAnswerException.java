package org.teaseltrail.load.http;

/** Thrown when a message of the callers' protocol can't be parsed or serialized. */
final class MalformedAnswerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedAnswerException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
