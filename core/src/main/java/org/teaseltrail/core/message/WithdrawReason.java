package org.teaseltrail.core.message;

/** Reason why an entry VM withdraws the ticket of a waiting request. */
public enum WithdrawReason {
  /** The caller disconnected. */
  CALLER_GONE,
  /** The deadline of the caller has expired. */
  DEADLINE,
  /** The VM shed the request while no scheduler was reachable. */
  GIVEN_UP
}
