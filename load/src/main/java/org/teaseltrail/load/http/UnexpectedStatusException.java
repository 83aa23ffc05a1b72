package org.teaseltrail.load.http;

/** Thrown when the status of a response is not 200. */
final class UnexpectedStatusException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  UnexpectedStatusException(int status) {
    super("unexpected response status " + status);
  }
}
