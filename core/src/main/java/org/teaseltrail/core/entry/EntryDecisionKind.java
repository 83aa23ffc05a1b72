package org.teaseltrail.core.entry;

/** Kind of a decision that an entry VM logs. */
public enum EntryDecisionKind {
  /** A request was admitted and offered to the scheduler. */
  ADMIT,
  /** A request was refused or dropped before it ran. */
  REFUSE,
  /** A request was sent to its upstream. */
  DISPATCH,
  /** A grant was declined. */
  DECLINE,
  /** A broken stream is resumed. */
  RESUME,
  /** The stream of an earlier request with the same idempotency key is taken over. */
  ADOPT,
  /** A frame was dropped. */
  DROP,
  /** A request ended after its dispatch. */
  END,
  /** The session with the control members changed. */
  SESSION,
  /** A configuration was applied or ignored. */
  CONFIGURATION,
  /** An upstream's announcements are rejected for a new reason. */
  UPSTREAM,
  /** A step of the graceful shutdown. */
  DRAIN
}
