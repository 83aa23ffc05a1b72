package org.teaseltrail.wire;

/** Is thrown when a value can't be written as a message, which is a fault of its type. */
public class UnencodableMessageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure.
   *
   * @param type the type that was to be written
   * @param cause what the encoder met
   */
  public UnencodableMessageException(Class<?> type, Throwable cause) {
    super("can't encode a message of type " + type.getSimpleName(), cause);
  }
}
