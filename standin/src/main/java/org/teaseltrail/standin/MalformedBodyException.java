package org.teaseltrail.standin;

/** Tells that a request's body isn't what the protocol says. */
final class MalformedBodyException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedBodyException(Throwable cause) {
    super("malformed body", cause);
  }

  MalformedBodyException(String problem) {
    super("malformed body: " + problem);
  }
}
