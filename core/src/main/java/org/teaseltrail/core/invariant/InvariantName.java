package org.teaseltrail.core.invariant;

/** Names what the program asserts about itself. */
public enum InvariantName {
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
  /** Whatever refers to another part of the configuration refers to one that exists. */
  CONFIGURATION_REFERENCES,
  /** A grant, a refusal or an order leaves only a member whose lease holds. */
  OUTWARD_ONLY_UNDER_LEASE
}
