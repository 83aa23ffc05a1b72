package org.teaseltrail.core.state;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.claim.OpenClaimResult;
import org.teaseltrail.core.rollout.RolloutOrderResult;

/** Result of a command. */
public sealed interface CommandResult {

  /**
   * Result of a configuration change.
   *
   * @param result what it came to
   */
  record ChangeOutcome(ChangeResult result) implements CommandResult {}

  /**
   * Result of opening a claim.
   *
   * @param result what it came to
   */
  record OpenClaimOutcome(OpenClaimResult result) implements CommandResult {}

  /**
   * Result of ending or taking over a claim.
   *
   * @param claim the claim after the command, or empty if the request holds none
   */
  record ClaimOutcome(Optional<ClaimRecord> claim) implements CommandResult {}

  /**
   * Result of releasing a claim.
   *
   * @param released whether the key is available again
   */
  record ReleaseOutcome(boolean released) implements CommandResult {}

  /**
   * Result of removing old claims.
   *
   * @param count number of claims removed or settled
   */
  record ExpiryOutcome(int count) implements CommandResult {}

  /**
   * Result of a change to the state controlled by the external platform.
   *
   * @param planVersion version of the current plan after the command
   * @param registryRevision revision of the registrations after the command
   */
  record ServingOutcome(long planVersion, long registryRevision) implements CommandResult {}

  /**
   * Result of a rollout order, or of moving a rollout to another phase.
   *
   * @param result the result
   */
  record RolloutOutcome(RolloutOrderResult result) implements CommandResult {}

  /**
   * Result of recording the requests that a target version may receive; no VM needs to be notified.
   */
  record ExposureOutcome() implements CommandResult {}
}
