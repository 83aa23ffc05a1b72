package org.teaseltrail.standin;

/** Thrown when the body of a request doesn't conform to the protocol. */
final class MalformedBodyException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedBodyException(Throwable cause) {
    super("malformed body", cause);
  }

  MalformedBodyException(String problem) {
    super("malformed body: " + problem);
  }
}
