package org.teaseltrail.load.policy;

import java.util.List;
import java.util.SortedMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.teaseltrail.core.id.Tier;

/**
 * Results of one policy in one scenario over all seeds.
 *
 * @param policy the policy
 * @param scenario the scenario
 * @param runs the results, one for each seed
 */
public record GroupResult(Policy policy, Scenario scenario, List<RunResult> runs) {

  private static final double US_PER_MS = 1_000;

  /** Returns the statistics of a metric over the seeds. */
  public SampleStatistics statistics(ToDoubleFunction<RunResult> measure) {
    return SampleStatistics.of(runs.stream().map(measure::applyAsDouble).toList());
  }

  /** Returns a tier's goodput: the fraction of its offered requests that got a useful response. */
  public SampleStatistics goodput(Tier tier) {
    return statistics(r -> r.tiers().get(tier).goodput());
  }

  /** Returns the combined goodput of a tier and all higher tiers. */
  public SampleStatistics prefixGoodput(Tier lowest) {
    return statistics(r -> r.prefixGoodput(lowest));
  }

  /** Returns a percentile of the time to first token over all seeds, in milliseconds. */
  public double firstTokenMs(Tier tier, double percentile) {
    return percentileMs(RunResult::firstTokenUs, tier, percentile);
  }

  /** Returns a percentile of the time between tokens over all seeds, in milliseconds. */
  public double interTokenMs(Tier tier, double percentile) {
    return percentileMs(RunResult::interTokenUs, tier, percentile);
  }

  private double percentileMs(
      Function<RunResult, SortedMap<Tier, Histogram>> histogramsOf, Tier tier, double percentile) {
    Histogram all = new Histogram(3);
    runs.forEach(r -> all.add(histogramsOf.apply(r).get(tier)));
    return all.getValueAtPercentile(percentile) / US_PER_MS;
  }
}
