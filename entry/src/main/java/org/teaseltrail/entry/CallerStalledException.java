package org.teaseltrail.entry;

/** Tells that a caller has read nothing for so long that its connection is closed. */
final class CallerStalledException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  CallerStalledException() {
    super("the caller reads nothing", null, false, false);
  }
}
