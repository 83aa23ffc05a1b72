package org.teaseltrail.entry;

/** Thrown when an engine sends a line that isn't a valid frame. */
final class MalformedFrameException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String detail) {
    super(detail, null, false, false);
  }
}
