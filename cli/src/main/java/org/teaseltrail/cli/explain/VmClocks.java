package org.teaseltrail.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates how far entry VMs' clocks are behind the control members'.
 *
 * <p>An entry VM can't apply a plan before a control member has received it. Where its line says so
 * all the same, its clock is behind by the difference at least; its lines are moved by that much.
 */
final class VmClocks {

  private final Map<String, Duration> behind = new HashMap<>();

  VmClocks(List<LogLine> lines) {
    Map<Long, Instant> received = new HashMap<>();
    lines.stream()
        .filter(line -> line.event().equals("plan_received"))
        .forEach(
            line ->
                version(line)
                    .ifPresent(plan -> received.merge(plan, line.time(), VmClocks::first)));
    lines.stream()
        .filter(line -> line.event().equals("plan_in_force"))
        .forEach(line -> note(line, received));
  }

  private static OptionalLong version(LogLine line) {
    return line.number("version");
  }

  private static Instant first(Instant one, Instant other) {
    return one.isBefore(other) ? one : other;
  }

  private void note(LogLine applied, Map<Long, Instant> received) {
    OptionalLong plan = version(applied);
    if (plan.isEmpty() || !received.containsKey(plan.getAsLong())) {
      return;
    }
    Duration difference = Duration.between(applied.time(), received.get(plan.getAsLong()));
    if (difference.compareTo(behind(applied.vm())) > 0) {
      behind.put(applied.vm(), difference);
    }
  }

  /** Returns by how much a VM's clock is behind at least. */
  Duration behind(String vm) {
    return behind.getOrDefault(vm, Duration.ZERO);
  }

  /** Puts a line on the control members' clock. */
  LogLine aligned(LogLine line) {
    return line.later(behind(line.vm()));
  }
}
