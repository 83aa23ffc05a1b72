package org.teaseltrail.load.policy;

import java.util.SortedMap;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.measure.TierTally;

/**
 * Is what one run has measured.
 *
 * @param policy the policy's name
 * @param seed the run's seed
 * @param tiers requests by tier and outcome
 * @param kinds requests by kind and outcome
 * @param prefill the prompt processing
 * @param firstTokenUs microseconds from the caller's sending to its first token, by tier
 * @param interTokenUs microseconds between tokens, by tier
 * @param decisions decisions logged by the policy
 */
public record RunResult(
    String policy,
    long seed,
    SortedMap<Tier, TierTally> tiers,
    SortedMap<String, TierTally> kinds,
    PrefillTally prefill,
    SortedMap<Tier, Histogram> firstTokenUs,
    SortedMap<Tier, Histogram> interTokenUs,
    long decisions) {

  /** Returns the useful part of what a tier and all higher ones offered. */
  public double prefixGoodput(Tier lowest) {
    long useful = 0;
    long offered = 0;
    for (TierTally tally : tiers.headMap(new Tier(lowest.rank() + 1)).values()) {
      useful += tally.count(RequestOutcome.USEFUL);
      offered += tally.offeredCount();
    }
    return offered == 0 ? 1 : (double) useful / offered;
  }
}
