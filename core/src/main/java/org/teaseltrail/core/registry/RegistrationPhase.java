package org.teaseltrail.core.registry;

/** Says how far an upstream's registration has come. It only ever moves on. */
public enum RegistrationPhase {
  /** It takes new requests. */
  READY,
  /** It finishes what it has and takes no new requests. */
  DRAINING,
  /** It has taken leave; kept so that a late heartbeat can't bring it back. */
  GONE
}
