package org.teaseltrail.core.rollout;

/**
 * Settings of rollouts.
 *
 * @param limit limit of the requests that a version under test receives
 */
public record RolloutSettings(CanaryLimit limit) {

  /** The default settings. */
  public static final RolloutSettings DEFAULT = new RolloutSettings(CanaryLimit.DEFAULT);
}
