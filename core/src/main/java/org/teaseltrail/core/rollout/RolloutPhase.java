package org.teaseltrail.core.rollout;

/** Says how far a rollout has come, and with it which versions requests may go to. */
public enum RolloutPhase {
  /** The ordered version gets its canary's part. */
  RUNNING(TrafficPolicy.ALL, TrafficPolicy.CANARY),
  /** The ordered version gets all new requests; the versions before finish what they have. */
  SHIFTING(TrafficPolicy.NONE, TrafficPolicy.ALL),
  /** The ordered version is in force. */
  COMPLETED(TrafficPolicy.NONE, TrafficPolicy.ALL),
  /** The versions before are in force. */
  ROLLED_BACK(TrafficPolicy.ALL, TrafficPolicy.NONE);

  private final TrafficPolicy before;
  private final TrafficPolicy ordered;

  RolloutPhase(TrafficPolicy before, TrafficPolicy ordered) {
    this.before = before;
    this.ordered = ordered;
  }

  /** Returns what upstreams of the versions before may get. */
  TrafficPolicy previousTraffic() {
    return before;
  }

  /** Returns what upstreams of the ordered version may get. */
  TrafficPolicy targetTraffic() {
    return ordered;
  }

  /**
   * Tells whether there is still something to decide.
   *
   * @return false once the rollout has ended
   */
  public boolean isOpen() {
    return this == RUNNING || this == SHIFTING;
  }

  /** Tells whether a phase may follow this one. */
  boolean canTransitionTo(RolloutPhase next) {
    return isOpen() && next.compareTo(this) > 0 && (next != COMPLETED || this == SHIFTING);
  }
}
