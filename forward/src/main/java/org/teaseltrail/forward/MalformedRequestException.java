package org.teaseltrail.forward;

/** Says that a caller's request can't be understood. */
public final class MalformedRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param message which header is wrong, without its value
   */
  public MalformedRequestException(String message) {
    super(message);
  }
}
