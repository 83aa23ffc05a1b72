package org.teaseltrail.wire;

/** Thrown when a value can't be encoded, which indicates a programming error in its type. */
public class UnencodableMessageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param type the type to encode
   * @param cause the error of the encoder
   */
  public UnencodableMessageException(Class<?> type, Throwable cause) {
    super("failed to encode a message of type " + type.getSimpleName(), cause);
  }
}
