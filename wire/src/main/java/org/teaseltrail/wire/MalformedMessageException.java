package org.teaseltrail.wire;

/** Thrown when bytes are not exactly one complete message of the expected type. */
public class MalformedMessageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception for a decoding error.
   *
   * @param expected the expected type
   * @param cause the error of the decoder
   */
  public MalformedMessageException(Class<?> expected, Throwable cause) {
    super("not a message of type " + expected.getSimpleName(), cause);
  }

  /**
   * Creates the exception with a description.
   *
   * @param expected the expected type
   * @param problem what is wrong with the bytes
   */
  public MalformedMessageException(Class<?> expected, String problem) {
    super("not a message of type " + expected.getSimpleName() + ": " + problem);
  }
}
