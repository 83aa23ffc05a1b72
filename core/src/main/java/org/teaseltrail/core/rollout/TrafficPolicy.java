package org.teaseltrail.core.rollout;

/** Traffic policy of an upstream during a rollout, which depends on its version. */
public enum TrafficPolicy {
  /** The upstream may receive all requests. */
  ALL,
  /** The upstream may receive only requests that the leader has allocated for the canary. */
  CANARY,
  /** The upstream may receive no requests. */
  NONE
}
