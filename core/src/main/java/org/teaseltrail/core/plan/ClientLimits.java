package org.teaseltrail.core.plan;

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

  /** Limits in use until the first plan is installed; the values of the platform's example plan. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
