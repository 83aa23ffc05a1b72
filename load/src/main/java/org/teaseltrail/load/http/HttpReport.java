package org.teaseltrail.load.http;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.teaseltrail.load.measure.OutcomeCounter;
import org.teaseltrail.load.measure.RequestOutcome;

/** Summarizes the results of a run by tier, customer and kind. */
final class HttpReport {

  private static final int HISTOGRAM_DIGITS = 3;
  private static final double NS_PER_US = 1e3;
  private static final double US_PER_MS = 1e3;
  private static final double P50 = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;

  private final List<CallResult> results;

  HttpReport(List<CallResult> results) {
    this.results = List.copyOf(results);
  }

  /** Returns the lines of the report in Markdown. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "| group | offered | useful % | outcomes | first token p50/p95/p99 ms | end p95 ms |");
    lines.add("| --- | --- | --- | --- | --- | --- |");
    addGroups(lines, r -> "tier " + r.planned().tier());
    addGroups(lines, r -> "customer " + r.planned().customer());
    addGroups(lines, r -> "kind " + r.planned().kind().name());
    lines.add("");
    lines.add("reasons: " + count(r -> r.reason()));
    lines.add("faults: " + faults());
    return lines;
  }

  /** Returns the number of occurrences of each fault. */
  Map<ResponseFault, Long> faults() {
    Map<ResponseFault, Long> faults = new EnumMap<>(ResponseFault.class);
    results.forEach(r -> r.faults().forEach(f -> faults.merge(f, 1L, Long::sum)));
    return faults;
  }

  private void addGroups(List<String> lines, Function<CallResult, String> groupOf) {
    SortedMap<String, List<CallResult>> groups = new TreeMap<>();
    results.forEach(r -> groups.computeIfAbsent(groupOf.apply(r), g -> new ArrayList<>()).add(r));
    groups.forEach((name, members) -> lines.add(line(name, members)));
  }

  private static String line(String name, List<CallResult> members) {
    OutcomeCounter tally = new OutcomeCounter();
    Histogram firstTokenUs = new Histogram(HISTOGRAM_DIGITS);
    Histogram endUs = new Histogram(HISTOGRAM_DIGITS);
    for (CallResult member : members) {
      tally.offered();
      tally.ended(member.outcome());
      member.firstTokenNs().ifPresent(ns -> firstTokenUs.recordValue((long) (ns / NS_PER_US)));
      if (member.outcome().completed()) {
        endUs.recordValue((long) (member.endNs() / NS_PER_US));
      }
    }
    return String.format(
        Locale.ROOT,
        "| %s | %d | %.1f | %s | %.1f / %.1f / %.1f | %.1f |",
        name,
        tally.offeredCount(),
        tally.goodput() * 100,
        outcomes(tally),
        firstTokenUs.getValueAtPercentile(P50) / US_PER_MS,
        firstTokenUs.getValueAtPercentile(P95) / US_PER_MS,
        firstTokenUs.getValueAtPercentile(P99) / US_PER_MS,
        endUs.getValueAtPercentile(P95) / US_PER_MS);
  }

  private static String outcomes(OutcomeCounter tally) {
    List<String> parts = new ArrayList<>();
    for (RequestOutcome outcome : RequestOutcome.values()) {
      if (tally.count(outcome) > 0) {
        parts.add(outcome.name().toLowerCase(Locale.ROOT) + " " + tally.count(outcome));
      }
    }
    return String.join(", ", parts);
  }

  private SortedMap<String, Long> count(Function<CallResult, String> keyOf) {
    SortedMap<String, Long> counts = new TreeMap<>();
    results.forEach(r -> counts.merge(keyOf.apply(r), 1L, Long::sum));
    return counts;
  }
}
