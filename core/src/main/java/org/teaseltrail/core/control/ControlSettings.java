package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.session.SessionSettings;

/**
 * Sets what a control member does while it leads.
 *
 * @param sessions times of the entry VMs' sessions
 * @param claims bounds of the claims
 * @param claimExpiryEveryMs time between two looks for old claims
 * @param placement pace of the loads it orders
 * @param seed seeds what schedulers draw by chance
 * @param quotaWindowMs time over which quotas are counted, in milliseconds
 * @param repair how the group repairs itself; empty if operators change its members
 */
public record ControlSettings(
    SessionSettings sessions,
    ClaimLimits claims,
    long claimExpiryEveryMs,
    PlacementSettings placement,
    long seed,
    long quotaWindowMs,
    Optional<RepairSettings> repair) {

  /** Time over which quotas are counted unless settings say otherwise; that of the users. */
  public static final long DEFAULT_QUOTA_WINDOW_MS = 8_000;

  /** The settings in use unless an operator says otherwise. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(
          SessionSettings.DEFAULT,
          ClaimLimits.DEFAULT,
          10_000,
          PlacementSettings.DEFAULT,
          1,
          DEFAULT_QUOTA_WINDOW_MS,
          Optional.empty());
}
