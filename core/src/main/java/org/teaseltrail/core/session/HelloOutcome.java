package org.teaseltrail.core.session;

/**
 * Says how a leader answers a hello.
 *
 * @param life what the hello does to the VM's session
 * @param welcome whether the session is renewed
 * @param push whether the VM needs the accepted configuration
 */
public record HelloOutcome(Life life, boolean welcome, boolean push) {

  /** Says what a hello does to a session. */
  public enum Life {
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
