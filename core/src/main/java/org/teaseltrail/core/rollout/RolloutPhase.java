package org.teaseltrail.core.rollout;

/** Says how far a rollout has come, and with it which versions requests may go to. */
public enum RolloutPhase {
  /** The ordered version gets its canary's part. */
  RUNNING(VersionUse.FREE, VersionUse.CANARY),
  /** The ordered version gets all new requests; the versions before finish what they have. */
  SHIFTING(VersionUse.BARRED, VersionUse.FREE),
  /** The ordered version is in force. */
  COMPLETED(VersionUse.BARRED, VersionUse.FREE),
  /** The versions before are in force. */
  ROLLED_BACK(VersionUse.FREE, VersionUse.BARRED);

  private final VersionUse before;
  private final VersionUse ordered;

  RolloutPhase(VersionUse before, VersionUse ordered) {
    this.before = before;
    this.ordered = ordered;
  }

  /** Returns what upstreams of the versions before may get. */
  VersionUse ofBefore() {
    return before;
  }

  /** Returns what upstreams of the ordered version may get. */
  VersionUse ofOrdered() {
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
  boolean mayTurnTo(RolloutPhase next) {
    return isOpen() && next.compareTo(this) > 0 && (next != COMPLETED || this == SHIFTING);
  }
}
