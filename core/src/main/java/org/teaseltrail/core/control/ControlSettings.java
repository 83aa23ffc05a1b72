package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.rollout.RolloutSettings;
import org.teaseltrail.core.session.SessionSettings;

/**
 * Sets what a control member does while it leads.
 *
 * @param sessions times of the entry VMs' sessions
 * @param claims bounds of the claims
 * @param claimExpiryIntervalMs time between two looks for old claims
 * @param placement pace of the loads it orders
 * @param seed seeds what schedulers draw by chance
 * @param quotas how quotas are counted
 * @param rollouts how rollouts are carried out
 * @param repair how the group repairs itself; empty if operators change its members
 */
public record ControlSettings(
    SessionSettings sessions,
    ClaimLimits claims,
    long claimExpiryIntervalMs,
    PlacementSettings placement,
    long seed,
    QuotaPolicy quotas,
    RolloutSettings rollouts,
    Optional<RepairSettings> repair) {

  /** The settings in use unless an operator says otherwise. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(
          SessionSettings.DEFAULT,
          ClaimLimits.DEFAULT,
          10_000,
          PlacementSettings.DEFAULT,
          1,
          QuotaPolicy.DEFAULT,
          RolloutSettings.DEFAULT,
          Optional.empty());
}
