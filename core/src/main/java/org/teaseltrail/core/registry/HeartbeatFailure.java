package org.teaseltrail.core.registry;

/**
 * Reason why a heartbeat is rejected. The rejection is attributed to no upstream and leaves the
 * existing registrations unchanged.
 */
public enum HeartbeatFailure {
  /** The document can't be parsed. */
  UNREADABLE,
  /** A field is missing or has the wrong type. */
  BAD_FIELD,
  /** The address is not valid. */
  BAD_ADDRESS,
  /** The phase is not one of the defined ones. */
  UNKNOWN_PHASE
}
