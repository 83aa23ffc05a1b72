package org.teaseltrail.core.plan;

/** Says why a plan is refused. */
public enum PlanFailure {
  /** It can't be read in full. */
  UNREADABLE,
  /** A route names a service that the plan doesn't hold. */
  UNKNOWN_SERVICE,
  /** Two routes have the same host and path prefix. */
  SAME_PLACE,
  /** The weights of a route add up to nothing. */
  NO_WEIGHT,
  /** A route has no time for an answer. */
  NO_TIMEOUT,
  /** Two customers have the same key. */
  SHARED_KEY
}
