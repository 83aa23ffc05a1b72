package org.teaseltrail.forward;

/** Thrown if a header of a caller's request is malformed. */
public final class MalformedRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message describes the malformed header, without its value; it is sent to the caller
   */
  public MalformedRequestException(String message) {
    super(message);
  }
}
