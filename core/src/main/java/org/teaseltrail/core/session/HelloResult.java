package org.teaseltrail.core.session;

/**
 * Result of handling a hello on the leader; it determines the reply.
 *
 * @param sessionChange effect of the hello on the VM's session
 * @param renewed whether the session is renewed
 * @param needsConfiguration whether the accepted configuration must be sent to the VM
 */
public record HelloResult(
    SessionChange sessionChange, boolean renewed, boolean needsConfiguration) {

  /** Effect of a hello on the session of its VM. */
  public enum SessionChange {
    /** The VM had no session, and a new one is opened. */
    OPENED,
    /** The hello is from a later incarnation, whose session replaces the existing one. */
    REPLACED,
    /** The hello belongs to the existing session. */
    KEPT,
    /**
     * No session is opened, because the VM's previous session expired while the VM applied an
     * outdated configuration.
     */
    HELD_OFF,
    /** The hello is from an earlier incarnation than the session and is ignored. */
    STALE
  }
}
