package org.teaseltrail.core.session;

/**
 * Timeouts of sessions.
 *
 * @param lifetimeMs session lifetime after an accepted hello, which the VM counts from the time it
 *     sent the hello
 * @param expiryMarginMs additional time before the leader treats the session as expired, since the
 *     clocks of the VM and the leader may run at different speeds
 * @param maxLagMs how long the leader keeps renewing the session of a VM that applies an older
 *     configuration; after that the session expires, so that no VM serves under the older
 *     configuration for longer than this time plus the lifetime
 * @param pushRetryMs time after which a configuration that has not been applied is sent again
 */
public record SessionSettings(
    long lifetimeMs, long expiryMarginMs, long maxLagMs, long pushRetryMs) {

  /**
   * Default timeouts. They put a configuration change in force within 4 s, which is the limit
   * required at the deployment size planned for two years ahead.
   */
  public static final SessionSettings DEFAULT = new SessionSettings(3_000, 100, 800, 1_000);

  /** Returns the time after the last accepted hello at which the leader expires a session. */
  long expiryNs() {
    return (lifetimeMs + expiryMarginMs) * 1_000_000L;
  }
}
