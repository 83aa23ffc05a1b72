package org.teaseltrail.core.registry;

/** Phase of an upstream's registration; within one incarnation it only moves forward. */
public enum RegistrationPhase {
  /** The upstream accepts new requests. */
  READY,
  /** The upstream finishes its running requests and accepts no new ones. */
  DRAINING,
  /** The upstream has deregistered; kept so that a delayed heartbeat can't register it again. */
  GONE
}
