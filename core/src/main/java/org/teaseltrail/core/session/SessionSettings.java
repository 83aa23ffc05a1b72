package org.teaseltrail.core.session;

/**
 * Sets the times of sessions.
 *
 * @param lifetimeMs how long a welcomed hello is good for, counted by the VM from its sending
 * @param expiryMarginMs how much later than that the leader counts the session as lapsed, since the
 *     two clocks may run at unlike speed
 * @param maxLagMs how long a VM that applies an older configuration is still welcomed; afterwards
 *     its session runs out, so that nobody serves for longer than this and the lifetime under it
 * @param pushRetryMs time after which a configuration that is not applied is sent again
 */
public record SessionSettings(
    long lifetimeMs, long expiryMarginMs, long maxLagMs, long pushRetryMs) {

  /** Puts a change in force within 4 s, the time of the letter's two-year size. */
  public static final SessionSettings DEFAULT = new SessionSettings(3_000, 100, 800, 1_000);

  /** Returns the time after the last hello at which the leader counts a session as lapsed. */
  long expiryNs() {
    return (lifetimeMs + expiryMarginMs) * 1_000_000L;
  }
}
