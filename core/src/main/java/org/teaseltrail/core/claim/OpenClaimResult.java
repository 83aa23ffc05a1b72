package org.teaseltrail.core.claim;

/** Result of opening a claim. */
public sealed interface OpenClaimResult {

  /**
   * The request holds the key; its grant may be sent.
   *
   * @param claim the claim
   */
  record Opened(ClaimRecord claim) implements OpenClaimResult {}

  /**
   * An earlier request holds the key.
   *
   * @param claim the earlier request's claim
   */
  record Held(ClaimRecord claim) implements OpenClaimResult {}

  /**
   * An earlier request with a different body holds the key.
   *
   * @param claim the earlier request's claim
   */
  record DigestConflict(ClaimRecord claim) implements OpenClaimResult {}

  /** The store is full, and no claim may be dropped. */
  record Full() implements OpenClaimResult {}
}
