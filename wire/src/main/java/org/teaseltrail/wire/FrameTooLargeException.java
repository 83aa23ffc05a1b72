package org.teaseltrail.wire;

/** Is thrown when a message to be sent passes the limit of a frame. */
public class FrameTooLargeException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Length of the message, in bytes. */
  private final int sizeBytes;

  /**
   * Makes the failure.
   *
   * @param type the type of the message
   * @param sizeBytes its length, in bytes
   * @param maxFrameBytes the limit, in bytes
   */
  public FrameTooLargeException(Class<?> type, int sizeBytes, int maxFrameBytes) {
    super(type.getSimpleName() + " of " + sizeBytes + " bytes passes " + maxFrameBytes);
    this.sizeBytes = sizeBytes;
  }

  /**
   * Returns the length of the message.
   *
   * @return the length, in bytes
   */
  public int sizeBytes() {
    return sizeBytes;
  }
}
