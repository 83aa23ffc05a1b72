package org.teaseltrail.core.plan;

/** Reason why a plan is rejected. */
public enum PlanFailure {
  /** The document can't be parsed completely. */
  UNREADABLE,
  /** A route refers to a service that the plan does not define. */
  UNKNOWN_SERVICE,
  /** Two routes have the same host and path prefix. */
  SAME_PLACE,
  /** A weight of a route is negative, or the weights add up to zero. */
  NO_WEIGHT,
  /** The timeout of a route is not positive. */
  NO_TIMEOUT,
  /** Two customers have the same key. */
  SHARED_KEY
}
