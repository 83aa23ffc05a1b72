package org.teaseltrail.core.claim;

/** Is what becomes of a request's wish to hold a key. */
public sealed interface OpenClaimResult {

  /**
   * The request holds the key; its grant may go out.
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
   * An earlier request with another body holds the key.
   *
   * @param claim the earlier request's claim
   */
  record DigestConflict(ClaimRecord claim) implements OpenClaimResult {}

  /** There is no room for a claim, and none may be dropped. */
  record Full() implements OpenClaimResult {}
}
