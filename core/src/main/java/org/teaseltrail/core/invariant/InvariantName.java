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
  /** A request's state only moves forward, but for a grant given back before its dispatch. */
  REQUEST_STATE_FORWARD,
  /** A request is dispatched to an upstream at most once. */
  DISPATCHED_AT_MOST_ONCE,
  /** A caller is told "not run" only of a request that did not run. */
  NOT_RUN_IS_TRUE,
  /** A caller receives the frames of its own answer in order and without a gap. */
  FRAMES_IN_ORDER,
  /** An answer counts as completed only with its end mark. */
  COMPLETED_ONLY_WHOLE,
  /** An entry VM admits a request only while its session is valid. */
  ADMITTED_ONLY_IN_SESSION,
  /** A request is given up only while no request of a lower tier is kept waiting. */
  GIVEN_UP_LOWEST_TIER_FIRST,
  /** An upstream that a VM knows as leaving receives no new work from it. */
  NO_DISPATCH_TO_LEAVING,
  /** A customer's key is held by at most one live claim. */
  ONE_CLAIM_PER_KEY,
  /** A claim's state only moves forward. */
  CLAIM_STATE_FORWARD,
  /** The revision of the configuration never goes back. */
  REVISION_NEVER_GOES_BACK,
  /** A grant, a refusal or an order leaves only a member whose lease holds. */
  OUTWARD_ONLY_UNDER_LEASE,
  /** A ticket has at most one outstanding grant. */
  ONE_GRANT_PER_TICKET,
  /** A request that has ended is never granted again. */
  NO_GRANT_AFTER_END,
  /** No request is shed while one of a lower tier is still waiting. */
  TIER_ORDER_AT_SHED,
  /** A new scheduler sheds nothing before every VM has reported or lapsed. */
  NO_SHED_BEFORE_REPORTS,
  /** No upstream that is leaving, draining, silent or not allowed receives new work. */
  NO_GRANT_TO_LEAVING_UPSTREAM,
  /** An upstream's window is never exceeded by a grant. */
  WINDOW_NOT_EXCEEDED,
  /** The account of an upstream's work in flight equals the sum of its parts. */
  IN_FLIGHT_ACCOUNT_BALANCES,
  /** The account of waiting work equals the sum of its parts. */
  WAITING_ACCOUNT_BALANCES,
  /** Whatever refers to another part of the configuration refers to one that exists. */
  CONFIGURATION_REFERENCES
}
