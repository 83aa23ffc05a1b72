package org.teaseltrail.core.contention;

/**
 * Which features decide while requests compete for slots. All processes of a deployment have the
 * same settings.
 *
 * @param slotShares slots are shared between customers of one rank and between kinds of requests,
 *     counted in the time for which they are occupied
 * @param waitForecasts requests that can't be served in time are refused at once, with the time at
 *     which there will be a slot
 * @param upstreamConditions upstreams are chosen by how fast each is at present
 * @param dealtSlots VMs use slots that were dealt to them in advance before they ask the leader
 */
public record ContentionSettings(
    FeatureMode slotShares,
    FeatureMode waitForecasts,
    FeatureMode upstreamConditions,
    FeatureMode dealtSlots) {

  /** No feature applies. */
  public static final ContentionSettings OFF =
      new ContentionSettings(FeatureMode.OFF, FeatureMode.OFF, FeatureMode.OFF, FeatureMode.OFF);

  /** All features apply to all services. */
  public static final ContentionSettings ON =
      new ContentionSettings(FeatureMode.ON, FeatureMode.ON, FeatureMode.ON, FeatureMode.ON);
}
