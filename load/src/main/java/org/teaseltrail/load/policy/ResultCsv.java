package org.teaseltrail.load.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.load.measure.OutcomeCounter;
import org.teaseltrail.load.measure.RequestOutcome;

/** Formats results as CSV with one line for each run and tier. */
public final class ResultCsv {

  private static final double P50 = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;

  private final List<GroupResult> groups;

  /** Creates the CSV of result groups. */
  public ResultCsv(List<GroupResult> groups) {
    this.groups = List.copyOf(groups);
  }

  /** Writes the lines to a file. */
  public void write(Path file) throws IOException {
    Files.write(file, lines());
  }

  /** Returns all lines, starting with the header. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(header());
    for (GroupResult group : groups) {
      for (RunResult run : group.runs()) {
        run.tiers().forEach((tier, tally) -> lines.add(line(group.scenario(), run, tier, tally)));
      }
    }
    return lines;
  }

  private static String header() {
    List<String> columns =
        new ArrayList<>(
            List.of("deployment", "load", "fault", "policy", "seed", "tier", "offered"));
    for (RequestOutcome outcome : RequestOutcome.values()) {
      columns.add(outcome.name().toLowerCase(Locale.ROOT));
    }
    for (String times : List.of("first_token", "inter_token")) {
      columns.addAll(List.of(times + "_p50_us", times + "_p95_us", times + "_p99_us"));
    }
    columns.addAll(List.of("prefill_tokens", "cached_tokens", "perfect_cached_tokens"));
    for (PrefillWasteCause cause : PrefillWasteCause.values()) {
      columns.add(cause.name().toLowerCase(Locale.ROOT) + "_tokens");
    }
    return String.join(",", columns);
  }

  private static String line(Scenario scenario, RunResult run, Tier tier, OutcomeCounter tally) {
    List<Object> cells = new ArrayList<>();
    cells.add(scenario.deployment().name());
    cells.add(scenario.load());
    cells.add(scenario.fault().name().toLowerCase(Locale.ROOT));
    cells.addAll(List.of(run.policy(), run.seed(), tier.rank(), tally.offeredCount()));
    for (RequestOutcome outcome : RequestOutcome.values()) {
      cells.add(tally.count(outcome));
    }
    for (var histograms : List.of(run.firstTokenUs(), run.interTokenUs())) {
      for (double percentile : List.of(P50, P95, P99)) {
        cells.add(histograms.get(tier).getValueAtPercentile(percentile));
      }
    }
    PrefillTotals prefill = run.prefill();
    cells.add(prefill.processedTokens());
    cells.add(prefill.cachedTokens());
    cells.add(prefill.perfectCachedTokens());
    Map<PrefillWasteCause, Long> wasted = prefill.wastedTokens();
    for (PrefillWasteCause cause : PrefillWasteCause.values()) {
      cells.add(wasted.getOrDefault(cause, 0L));
    }
    return String.join(",", cells.stream().map(Object::toString).toList());
  }
}
