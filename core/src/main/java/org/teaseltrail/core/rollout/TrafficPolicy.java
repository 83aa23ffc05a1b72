package org.teaseltrail.core.rollout;

/** Says what requests an upstream may get, by its version. */
public enum TrafficPolicy {
  /** All. */
  ALL,
  /** Only those that the leader has lent out for it. */
  CANARY,
  /** None. */
  NONE
}
