package org.teaseltrail.core.invariant;

/** Names what must always hold. */
public enum InvariantName {
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
  WAITING_ACCOUNT_BALANCES
}
