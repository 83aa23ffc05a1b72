package org.teaseltrail.core.rollout;

/** Reason for the transition of a rollout to its phase. */
public enum RolloutReason {
  /** An operator ordered it. */
  ORDERED,
  /** The target version was analyzed and performs as well as the previous ones. */
  PROVEN,
  /** The target version is in force on all entry VMs. */
  IN_FORCE,
  /** The target version fails more often than the previous ones. */
  FAILURES,
  /** The target version has a higher time to first event than the previous ones. */
  SLOW_START,
  /** The target version streams more slowly than the previous ones. */
  SLOW_STREAM,
  /** The deadline passed before the target version had enough warmed-up upstreams. */
  TOO_FEW_UPSTREAMS,
  /** The deadline passed before enough answers of the target version were analyzed. */
  UNPROVEN,
  /** An operator aborted the rollout. */
  ABORTED
}
