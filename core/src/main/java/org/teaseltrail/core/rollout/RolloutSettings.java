package org.teaseltrail.core.rollout;

/**
 * Says how rollouts are carried out.
 *
 * @param limit what a version that may be bad gets at most
 */
public record RolloutSettings(CanaryLimit limit) {

  /** The settings in use unless an operator says otherwise. */
  public static final RolloutSettings DEFAULT = new RolloutSettings(CanaryLimit.DEFAULT);
}
