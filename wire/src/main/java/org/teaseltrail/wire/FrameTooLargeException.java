package org.teaseltrail.wire;

/** Thrown when an outbound message exceeds the maximum frame size. */
public class FrameTooLargeException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int sizeBytes;

  /**
   * Creates the exception.
   *
   * @param type the type of the message
   * @param sizeBytes its encoded size, in bytes
   * @param maxFrameBytes the maximum frame size, in bytes
   */
  public FrameTooLargeException(Class<?> type, int sizeBytes, int maxFrameBytes) {
    super(
        type.getSimpleName()
            + " of "
            + sizeBytes
            + " bytes exceeds the maximum frame size of "
            + maxFrameBytes);
    this.sizeBytes = sizeBytes;
  }

  /**
   * Returns the encoded size of the message.
   *
   * @return the size, in bytes
   */
  public int sizeBytes() {
    return sizeBytes;
  }
}
