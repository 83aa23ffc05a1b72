package org.teaseltrail.core.state;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.configuration.Configuration;

/**
 * Is the whole replicated state as one value.
 *
 * @param logTimeMs log time, in milliseconds
 * @param configuration the configuration
 * @param changes results kept for resends, oldest first
 * @param claimLimits limits of the claims
 * @param claims the claims in the order their book gives
 * @param serving what an outside platform decides; empty in snapshots of older versions
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
