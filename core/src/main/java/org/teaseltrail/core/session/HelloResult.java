package org.teaseltrail.core.session;

/**
 * Says how a leader answers a hello.
 *
 * @param sessionChange what the hello does to the VM's session
 * @param renewed whether the session is renewed
 * @param needsConfiguration whether the VM needs the accepted configuration
 */
public record HelloResult(
    SessionChange sessionChange, boolean renewed, boolean needsConfiguration) {

  /** Says what a hello does to a session. */
  public enum SessionChange {
    /** It opens the first session of the VM. */
    OPENED,
    /** It comes from a later life of the process, whose session replaces that of the one before. */
    REPLACED,
    /** It goes on with the session. */
    KEPT,
    /**
     * It opens no session, for the VM's last one lapsed while it applied too old a configuration.
     */
    HELD_OFF,
    /** It comes from an earlier life than the session's and counts for nothing. */
    STALE
  }
}
