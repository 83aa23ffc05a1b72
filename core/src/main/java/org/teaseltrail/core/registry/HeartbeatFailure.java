package org.teaseltrail.core.registry;

/** Says why a heartbeat can't be taken in. It names no upstream, and those that stand stay. */
public enum HeartbeatFailure {
  /** Its bytes can't be read. */
  UNREADABLE,
  /** A field is missing or of another type. */
  BAD_FIELD,
  /** Its address is none. */
  BAD_ADDRESS,
  /** It names a phase that isn't known. */
  UNKNOWN_PHASE
}
