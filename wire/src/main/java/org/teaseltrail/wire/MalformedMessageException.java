package org.teaseltrail.wire;

/** Is thrown when bytes are not a whole message of the type that was expected. */
public class MalformedMessageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param expected the type that was expected
   * @param cause what the decoder met
   */
  public MalformedMessageException(Class<?> expected, Throwable cause) {
    super("not a message of type " + expected.getSimpleName(), cause);
  }

  /**
   * Makes the failure.
   *
   * @param expected the type that was expected
   * @param problem what is wrong with the bytes
   */
  public MalformedMessageException(Class<?> expected, String problem) {
    super("not a message of type " + expected.getSimpleName() + ": " + problem);
  }
}
