package org.teaseltrail.core.claim;

/** Is what becomes of a request's wish to hold a key. */
public sealed interface OpenResult {

  /**
   * The request holds the key; its grant may go out.
   *
   * @param claim the claim
   */
  record Opened(ClaimRecord claim) implements OpenResult {}

  /**
   * An earlier request holds the key.
   *
   * @param claim the earlier request's claim
   */
  record Held(ClaimRecord claim) implements OpenResult {}

  /**
   * An earlier request with another body holds the key.
   *
   * @param claim the earlier request's claim
   */
  record DigestConflict(ClaimRecord claim) implements OpenResult {}

  /** There is no room for a claim, and none may be dropped. */
  record Full() implements OpenResult {}
}
