package org.teaseltrail.core.invariant;

/** Names the invariants that the program checks while it runs. */
public enum InvariantName {
  /** Two members lead in one term. */
  ONE_LEADER_PER_TERM,
  /** A committed entry is never replaced. */
  COMMITTED_ENTRY_KEPT,
  /** The commit index never goes back. */
  COMMIT_INDEX_GROWS,
  /** A member's term never goes back. */
  TERM_GROWS,
  /** The indexes of a log's entries follow one another without a gap. */
  LOG_WITHOUT_GAP,
  /** A write is reported as synced only after it was asked for. */
  SYNCED_WRITE_WAS_ASKED_FOR,
  /** A member without a voter's rights never stands for election. */
  ONLY_VOTERS_STAND,
  /** A customer's key is held by at most one live claim. */
  ONE_CLAIM_PER_KEY,
  /** A claim's state only moves forward. */
  CLAIM_STATE_FORWARD,
  /** The revision of the configuration never goes back. */
  REVISION_NEVER_GOES_BACK,
  /** A grant, a refusal or an order leaves only a member whose lease holds. */
  OUTWARD_ONLY_UNDER_LEASE
}
