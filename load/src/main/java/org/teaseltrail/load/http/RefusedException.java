package org.teaseltrail.load.http;

/** Thrown when the status of a response is not 200. */
final class RefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  RefusedException(int status) {
    super("unexpected response status " + status);
  }
}
