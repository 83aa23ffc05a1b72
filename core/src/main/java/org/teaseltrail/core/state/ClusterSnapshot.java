package org.teaseltrail.core.state;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.configuration.Configuration;

/**
 * Immutable copy of the complete replicated state.
 *
 * @param logTimeMs log time, in milliseconds
 * @param configuration the configuration
 * @param changes results kept for retries, oldest first
 * @param claimLimits limits on the number and retention of claims
 * @param claims the claims in the order of their store
 * @param serving state controlled by the external platform; empty in snapshots of older versions
 */
public record ClusterSnapshot(
    long logTimeMs,
    Configuration configuration,
    List<ChangeRecord> changes,
    ClaimLimits claimLimits,
    List<ClaimRecord> claims,
    Optional<ServingState> serving) {
  /** Copies the lists. */
  public ClusterSnapshot {
    changes = List.copyOf(changes);
    claims = List.copyOf(claims);
  }

  /** Returns the state of a new group. */
  public static ClusterSnapshot empty() {
    return new ClusterSnapshot(
        0, Configuration.empty(), List.of(), ClaimLimits.DEFAULT, List.of(), Optional.empty());
  }
}
