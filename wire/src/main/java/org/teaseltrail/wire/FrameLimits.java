package org.teaseltrail.wire;

/**
 * Resource limits and timeouts of one connection.
 *
 * @param maxFrameBytes maximum length of a frame body in either direction, in bytes
 * @param maxQueuedBytes maximum size of the outbound queue, in bytes; the connection is closed when
 *     a slow peer lets it exceed this
 * @param idleTimeoutMs time without inbound data after which a connection is considered half-open,
 *     in milliseconds; keepalives are sent three times within it
 * @param connectTimeoutMs timeout for establishing a connection, in milliseconds
 */
public record FrameLimits(
    int maxFrameBytes, long maxQueuedBytes, long idleTimeoutMs, int connectTimeoutMs) {

  /** Keepalives per idle timeout, so that a single lost one does not close the connection. */
  static final int KEEPALIVES_PER_TIMEOUT = 3;

  private static final int DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final long DEFAULT_MAX_QUEUED_BYTES = 32L * 1024 * 1024;
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 3_000;
  private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

  /** Validates the limits. */
  public FrameLimits {
    if (maxFrameBytes < 1 || maxQueuedBytes < maxFrameBytes) {
      throw new IllegalArgumentException(
          "maxFrameBytes must be positive and at most maxQueuedBytes");
    }
    if (idleTimeoutMs < KEEPALIVES_PER_TIMEOUT || connectTimeoutMs < 1) {
      throw new IllegalArgumentException(
          "idleTimeoutMs must allow for its keepalives and connectTimeoutMs must be positive");
    }
  }

  /**
   * Returns the limits for connections between the processes of the system: the idle timeout equals
   * the session timeout, and a frame can hold a snapshot chunk or a full configuration.
   *
   * @return the limits
   */
  public static FrameLimits defaults() {
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
