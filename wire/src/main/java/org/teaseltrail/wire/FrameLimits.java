package org.teaseltrail.wire;

/**
 * Bounds what one connection may cost.
 *
 * @param maxFrameBytes greatest length of a frame's body, in bytes, in either direction
 * @param maxQueuedBytes greatest number of bytes that wait to be written, in bytes; a peer that
 *     lets more than that pile up is dropped
 * @param idleTimeoutMs silence after which a link counts as half-open, in milliseconds; keepalives
 *     go out three times within it
 * @param connectTimeoutMs time that a connect may take, in milliseconds
 */
public record FrameLimits(
    int maxFrameBytes, long maxQueuedBytes, long idleTimeoutMs, int connectTimeoutMs) {

  /** Keepalives sent within one idle timeout, so that the loss of one is no failure. */
  static final int KEEPALIVES_PER_TIMEOUT = 3;

  private static final int DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final long DEFAULT_MAX_QUEUED_BYTES = 32L * 1024 * 1024;
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 3_000;
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

  /** Checks the bounds. */
  public FrameLimits {
    if (maxFrameBytes < 1 || maxQueuedBytes < maxFrameBytes) {
      throw new IllegalArgumentException("the queue must have room for one frame");
    }
    if (idleTimeoutMs < KEEPALIVES_PER_TIMEOUT || connectTimeoutMs < 1) {
      throw new IllegalArgumentException("timeouts must be positive");
    }
  }

  /**
   * Returns bounds for the links between this system's processes: the idle timeout equals the
   * session's lifetime, and a frame has room for a snapshot part or a whole configuration.
   *
   * @return the bounds
   */
  public static FrameLimits standard() {
    return new FrameLimits(
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_QUEUED_BYTES,
        DEFAULT_IDLE_TIMEOUT_MS,
        DEFAULT_CONNECT_TIMEOUT_MS);
  }

  long keepaliveMs() {
    return idleTimeoutMs / KEEPALIVES_PER_TIMEOUT;
  }
}
