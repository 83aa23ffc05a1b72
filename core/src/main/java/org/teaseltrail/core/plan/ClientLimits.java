package org.teaseltrail.core.plan;

/**
 * Bounds what a caller's connection may send and how long it may be idle.
 *
 * @param maxHeaderBytes greatest size of a request's line and headers, in bytes
 * @param maxBodyBytes greatest size of a request's body, in bytes
 * @param headerTimeoutMs longest time from a request's first byte to the end of its headers
 * @param idleTimeoutMs longest time without a request, in milliseconds
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Holds until the first plan has come; the values of the platform's own example. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
