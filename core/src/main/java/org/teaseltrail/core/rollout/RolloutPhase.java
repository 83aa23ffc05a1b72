package org.teaseltrail.core.rollout;

/** Phase of a rollout; determines which versions may receive requests. */
public enum RolloutPhase {
  /** The target version receives the canary share of the requests. */
  RUNNING(TrafficPolicy.ALL, TrafficPolicy.CANARY),
  /** The target version receives all new requests; previous versions finish their running ones. */
  SHIFTING(TrafficPolicy.NONE, TrafficPolicy.ALL),
  /** The target version is in force. */
  COMPLETED(TrafficPolicy.NONE, TrafficPolicy.ALL),
  /** The previous versions are in force again. */
  ROLLED_BACK(TrafficPolicy.ALL, TrafficPolicy.NONE);

  private final TrafficPolicy before;
  private final TrafficPolicy ordered;

  RolloutPhase(TrafficPolicy before, TrafficPolicy ordered) {
    this.before = before;
    this.ordered = ordered;
  }

  /** Returns the traffic policy for upstreams of previous versions. */
  TrafficPolicy previousTraffic() {
    return before;
  }

  /** Returns the traffic policy for upstreams of the target version. */
  TrafficPolicy targetTraffic() {
    return ordered;
  }

  /**
   * Returns whether the rollout is still in progress.
   *
   * @return false once the rollout has ended
   */
  public boolean isOpen() {
    return this == RUNNING || this == SHIFTING;
  }

  /** Returns whether the transition to the other phase is allowed. */
  boolean canTransitionTo(RolloutPhase next) {
    return isOpen() && next.compareTo(this) > 0 && (next != COMPLETED || this == SHIFTING);
  }
}
