package org.teaseltrail.core.invariant;

/** Invariants that are checked at run time. */
public enum InvariantName {
  /** No two members are leader in the same term. */
  ONE_LEADER_PER_TERM,
  /** A committed log entry is never replaced. */
  COMMITTED_ENTRY_KEPT,
  /** The commit index never decreases. */
  COMMIT_INDEX_GROWS,
  /** The term of a member never decreases. */
  TERM_GROWS,
  /** The indexes of log entries are consecutive. */
  LOG_WITHOUT_GAP,
  /** A write is reported as synced only after it was requested. */
  SYNCED_WRITE_WAS_ASKED_FOR,
  /** A member that is not a voter never becomes a candidate. */
  ONLY_VOTERS_STAND,
  /** A request's state only moves forward, except when a grant is declined before the dispatch. */
  REQUEST_STATE_FORWARD,
  /** A request is dispatched to an upstream at most once. */
  DISPATCHED_AT_MOST_ONCE,
  /** "Not run" is reported to a caller only for a request that was not executed. */
  NOT_RUN_IS_TRUE,
  /** A caller receives only the frames of its own answer, in order and without a gap. */
  FRAMES_IN_ORDER,
  /** An answer is complete only with its end frame. */
  COMPLETED_ONLY_WHOLE,
  /** An entry VM admits a request only while its session is valid. */
  ADMITTED_ONLY_IN_SESSION,
  /** An entry VM sheds a request only while no request of a lower tier is kept waiting. */
  GIVEN_UP_LOWEST_TIER_FIRST,
  /** An entry VM dispatches no request to an upstream that it knows to be leaving. */
  NO_DISPATCH_TO_LEAVING,
  /** At most one active claim exists per idempotency key of a customer. */
  ONE_CLAIM_PER_KEY,
  /** The state of a claim only moves forward. */
  CLAIM_STATE_FORWARD,
  /** The revision of the configuration never decreases. */
  REVISION_NEVER_GOES_BACK,
  /** Grants, refusals and orders are sent only by a member whose lease is valid. */
  OUTWARD_ONLY_UNDER_LEASE,
  /** A ticket has at most one outstanding grant. */
  ONE_GRANT_PER_TICKET,
  /** A request that has ended is never granted again. */
  NO_GRANT_AFTER_END,
  /** The scheduler sheds no request while one of a lower tier is still waiting. */
  TIER_ORDER_AT_SHED,
  /** A new scheduler sheds nothing before every VM has reported or its session has expired. */
  NO_SHED_BEFORE_REPORTS,
  /** No upstream that is leaving, draining, silent or not allowed is granted to a request. */
  NO_GRANT_TO_LEAVING_UPSTREAM,
  /** A grant never exceeds the slots or the token window of an upstream. */
  WINDOW_NOT_EXCEEDED,
  /** The total of an upstream's in-flight work equals the sum over its requests. */
  IN_FLIGHT_ACCOUNT_BALANCES,
  /** The total of the queued work equals the sum over the queued requests. */
  WAITING_ACCOUNT_BALANCES,
  /** Every reference in the configuration is to an existing entity. */
  CONFIGURATION_REFERENCES
}
