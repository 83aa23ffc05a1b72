package org.teaseltrail.load.http;

/** Tells that a request was not answered with success. */
final class RefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  RefusedException(int status) {
    super("answered with status " + status);
  }
}
