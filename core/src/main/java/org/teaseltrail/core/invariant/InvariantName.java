package org.teaseltrail.core.invariant;

/** Names what the program asserts about itself. */
public enum InvariantName {
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
