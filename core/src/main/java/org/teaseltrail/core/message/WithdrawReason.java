package org.teaseltrail.core.message;

/** Says why an entry VM takes a waiting ticket back. */
public enum WithdrawReason {
  /** The caller has hung up. */
  CALLER_GONE,
  /** The caller's own deadline has passed. */
  DEADLINE,
  /** The VM has given the request up while no scheduler was in reach. */
  GIVEN_UP
}
