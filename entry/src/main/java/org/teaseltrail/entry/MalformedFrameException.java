package org.teaseltrail.entry;

/** Tells that an engine sent a line that is no frame. */
final class MalformedFrameException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String detail) {
    super(detail, null, false, false);
  }
}
