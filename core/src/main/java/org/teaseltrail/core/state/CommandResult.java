package org.teaseltrail.core.state;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.claim.OpenClaimResult;
import org.teaseltrail.core.rollout.RolloutOrderResult;

/** Is what a command came to. */
public sealed interface CommandResult {

  /**
   * A change of the configuration.
   *
   * @param result what it came to
   */
  record OfChange(ChangeResult result) implements CommandResult {}

  /**
   * The opening of a claim.
   *
   * @param result what it came to
   */
  record OfOpen(OpenClaimResult result) implements CommandResult {}

  /**
   * The end or adoption of a claim.
   *
   * @param claim the claim after it, or empty if the request holds none
   */
  record OfClaim(Optional<ClaimRecord> claim) implements CommandResult {}

  /**
   * The release of a claim.
   *
   * @param released whether the key is free
   */
  record OfRelease(boolean released) implements CommandResult {}

  /**
   * The dropping of old claims.
   *
   * @param count claims dropped or settled
   */
  record OfExpiry(int count) implements CommandResult {}

  /**
   * A change of what an outside platform decides.
   *
   * @param planVersion version of the plan held afterwards
   * @param registryRevision revision of the registrations afterwards
   */
  record OfServing(long planVersion, long registryRevision) implements CommandResult {}

  /**
   * An operator's order of a rollout, or the end of one.
   *
   * @param answer what became of it
   */
  record OfRollout(RolloutOrderResult answer) implements CommandResult {}

  /** Requests were written down that an ordered version may get; no VM need know. */
  record OfExposure() implements CommandResult {}
}
