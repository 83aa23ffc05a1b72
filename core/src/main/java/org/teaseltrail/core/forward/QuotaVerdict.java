package org.teaseltrail.core.forward;

/** Says how a request stands to its customer's quota. */
enum QuotaVerdict {
  /** It is owed a place. */
  WITHIN,
  /** It is within the quota, but this VM must ask the leader for more of it first. */
  NEEDS_ALLOWANCE,
  /**
   * It may be over the quota, by less than the users tolerate. It gets a place that is free now and
   * takes none from those that are owed one.
   */
  WITHIN_TOLERANCE,
  /** It is refused. */
  OVER
}
