package org.teaseltrail.core.plan;

import java.util.concurrent.TimeUnit;

/**
 * Size limits and timeouts of callers' connections.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs maximum time from the first byte of a request to the end of its headers
 * @param idleTimeoutMs maximum time without a request, in milliseconds
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  private static final int MAX_HEADER_BYTES = 16 * 1024 * 1024;
  private static final long MAX_TIMEOUT_MS = TimeUnit.DAYS.toMillis(1);

  /** Limits in use until the first plan is installed; the values of the platform's example plan. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);

  /**
   * Bounds the limits: one that isn't positive counts as the smallest, and one that is larger than
   * any caller needs as the largest. Otherwise no connection could be served under such a plan.
   */
  public ClientLimits {
    maxHeaderBytes = Math.max(1, Math.min(MAX_HEADER_BYTES, maxHeaderBytes));
    maxBodyBytes = Math.max(0, maxBodyBytes);
    headerTimeoutMs = Math.max(1, Math.min(MAX_TIMEOUT_MS, headerTimeoutMs));
    idleTimeoutMs = Math.max(1, Math.min(MAX_TIMEOUT_MS, idleTimeoutMs));
  }
}
