package org.teaseltrail.load.policy;

import java.util.SortedMap;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.load.measure.OutcomeCounter;
import org.teaseltrail.load.measure.RequestOutcome;

/**
 * Metrics of one run.
 *
 * @param policy the policy's name
 * @param seed the run's seed
 * @param tiers request counts by tier and outcome
 * @param kinds request counts by kind and outcome
 * @param prefill the prefill totals
 * @param firstTokenUs time from sending the request to its first token in microseconds, by tier
 * @param interTokenUs time between tokens in microseconds, by tier
 * @param decisions number of decisions that the policy logged
 */
public record RunResult(
    String policy,
    long seed,
    SortedMap<Tier, OutcomeCounter> tiers,
    SortedMap<String, OutcomeCounter> kinds,
    PrefillTotals prefill,
    SortedMap<Tier, Histogram> firstTokenUs,
    SortedMap<Tier, Histogram> interTokenUs,
    long decisions) {

  /** Returns the combined goodput of a tier and all higher tiers. */
  public double prefixGoodput(Tier lowest) {
    long useful = 0;
    long offered = 0;
    for (OutcomeCounter tally : tiers.headMap(new Tier(lowest.rank() + 1)).values()) {
      useful += tally.count(RequestOutcome.USEFUL);
      offered += tally.offeredCount();
    }
    return offered == 0 ? 1 : (double) useful / offered;
  }
}
