package org.teaseltrail.load.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.teaseltrail.core.id.Tier;

/** Formats results as a Markdown table with one row for each policy in each scenario. */
public final class ResultTable {

  private static final double P50 = 50;
  private static final double P95 = 95;

  private final List<GroupResult> groups;

  /** Creates a table of one or more result groups, all of the same deployment. */
  public ResultTable(List<GroupResult> groups) {
    this.groups = List.copyOf(groups);
  }

  /** Returns the lines of the table. */
  public List<String> lines() {
    List<Tier> tiers = groups.get(0).scenario().deployment().tiers();
    List<String> lines = new ArrayList<>();
    List<String> header = header(tiers);
    lines.add(row(header));
    lines.add(row(header.stream().map(h -> "---").toList()));
    groups.forEach(g -> lines.add(row(cells(g, tiers))));
    return lines;
  }

  private static List<String> header(List<Tier> tiers) {
    List<String> header = new ArrayList<>(List.of("load", "fault", "policy"));
    tiers.forEach(t -> header.add("goodput " + t + " %"));
    tiers.stream().skip(1).forEach(t -> header.add("goodput t1-" + t + " %"));
    header.addAll(List.of("wasted prefill %", "of it by cause %", "hits of perfect %"));
    tiers.forEach(t -> header.add("first token " + t + " p50/p95 ms"));
    tiers.forEach(t -> header.add("token gap " + t + " p95 ms"));
    return header;
  }

  private static List<String> cells(GroupResult group, List<Tier> tiers) {
    List<String> cells = new ArrayList<>();
    cells.add(String.format(Locale.ROOT, "%.1f", group.scenario().load()));
    cells.add(group.scenario().fault().name().toLowerCase(Locale.ROOT));
    cells.add(group.policy().name());
    tiers.forEach(t -> cells.add(group.goodput(t).percent()));
    tiers.stream().skip(1).forEach(t -> cells.add(group.prefixGoodput(t).percent()));
    cells.add(group.statistics(r -> r.prefill().wastedFraction()).percent());
    cells.add(causes(group));
    cells.add(group.statistics(r -> r.prefill().hitRatioToIdeal()).percent());
    tiers.forEach(t -> cells.add(firstToken(group, t)));
    tiers.forEach(t -> cells.add(String.format(Locale.ROOT, "%.1f", group.interTokenMs(t, P95))));
    return cells;
  }

  private static String causes(GroupResult group) {
    List<String> parts = new ArrayList<>();
    for (PrefillWasteCause cause : PrefillWasteCause.values()) {
      double mean = group.statistics(r -> r.prefill().wastedFraction(cause)).mean();
      if (mean > 0) {
        parts.add(String.format(Locale.ROOT, "%s %.2f", cause.label(), mean * 100));
      }
    }
    return String.join(", ", parts);
  }

  private static String firstToken(GroupResult group, Tier tier) {
    double medianMs = group.firstTokenMs(tier, P50);
    double slowMs = group.firstTokenMs(tier, P95);
    return String.format(Locale.ROOT, "%.0f / %.0f", medianMs, slowMs);
  }

  private static String row(List<String> cells) {
    return "| " + String.join(" | ", cells) + " |";
  }
}
