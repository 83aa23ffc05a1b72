package org.teaseltrail.core.rollout;

/**
 * Says how rollouts are carried out.
 *
 * @param limit what a version that may be bad gets at most
 * @param test how a bad version is told
 */
public record RolloutSettings(CanaryLimit limit, VersionTest test) {

  /** The settings in use unless an operator says otherwise. */
  public static final RolloutSettings DEFAULT =
      new RolloutSettings(CanaryLimit.DEFAULT, VersionTest.MARTINGALE);
}
