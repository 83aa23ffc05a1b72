package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.rollout.RolloutSettings;
import org.teaseltrail.core.session.SessionSettings;

/**
 * Settings of a control member that apply while it leads.
 *
 * @param sessions timeouts of the entry VMs' sessions
 * @param claims limits of the claim store
 * @param claimExpiryIntervalMs interval between two checks for expired claims
 * @param placement rate of the model loads that it orders
 * @param seed seed of the schedulers' random numbers
 * @param quotas how quotas are counted
 * @param rollouts how rollouts are carried out
 * @param contention which features decide while requests compete for slots
 * @param repair how the group repairs its membership; empty if only operators change it
 */
public record ControlSettings(
    SessionSettings sessions,
    ClaimLimits claims,
    long claimExpiryIntervalMs,
    PlacementSettings placement,
    long seed,
    QuotaPolicy quotas,
    RolloutSettings rollouts,
    ContentionSettings contention,
    Optional<RepairSettings> repair) {

  /** Default settings. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(
          SessionSettings.DEFAULT,
          ClaimLimits.DEFAULT,
          10_000,
          PlacementSettings.DEFAULT,
          1,
          QuotaPolicy.DEFAULT,
          RolloutSettings.DEFAULT,
          ContentionSettings.OFF,
          Optional.empty());
}
