package org.teaseltrail.core.entry;

/** Says what an entry VM decided. */
public enum EntryDecisionKind {
  /** A request was taken in and offered. */
  ADMIT,
  /** A request was refused or given up; it did not run. */
  REFUSE,
  /** A request goes to its upstream. */
  DISPATCH,
  /** A grant was given back. */
  DECLINE,
  /** A broken stream is resumed. */
  RESUME,
  /** The stream of an earlier request under the same key is taken over. */
  ADOPT,
  /** A frame was dropped. */
  DROP,
  /** A request ended after its dispatch. */
  END,
  /** The session with the control members changed. */
  SESSION,
  /** A configuration was applied or passed over. */
  CONFIGURATION,
  /** An upstream's announcement changed its phase, or was turned away. */
  UPSTREAM,
  /** A step of the shutdown. */
  DRAIN
}
