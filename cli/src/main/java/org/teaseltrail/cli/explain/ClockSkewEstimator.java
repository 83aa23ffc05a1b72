package org.teaseltrail.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates the clock skew of entry VMs relative to the control members.
 *
 * <p>An entry VM can't apply a plan before a control member has received it. If the time of its
 * line is earlier nevertheless, its clock is behind by at least the difference; its lines are
 * shifted by that amount.
 */
final class ClockSkewEstimator {

  private final Map<String, Duration> minSkew = new HashMap<>();

  ClockSkewEstimator(List<LogLine> lines) {
    Map<Long, Instant> receivedTimes = new HashMap<>();
    lines.stream()
        .filter(line -> line.event().equals("plan_received"))
        .forEach(
            line ->
                version(line)
                    .ifPresent(
                        plan ->
                            receivedTimes.merge(plan, line.time(), ClockSkewEstimator::earlier)));
    lines.stream()
        .filter(line -> line.event().equals("plan_in_force"))
        .forEach(line -> recordSkew(line, receivedTimes));
  }

  private static OptionalLong version(LogLine line) {
    return line.number("version");
  }

  private static Instant earlier(Instant one, Instant other) {
    return one.isBefore(other) ? one : other;
  }

  private void recordSkew(LogLine applied, Map<Long, Instant> receivedTimes) {
    OptionalLong plan = version(applied);
    if (plan.isEmpty() || !receivedTimes.containsKey(plan.getAsLong())) {
      return;
    }
    Duration difference = Duration.between(applied.time(), receivedTimes.get(plan.getAsLong()));
    if (difference.compareTo(minSkew(applied.vm())) > 0) {
      minSkew.put(applied.vm(), difference);
    }
  }

  /** Returns the minimum by which a VM's clock is behind. */
  Duration minSkew(String vm) {
    return minSkew.getOrDefault(vm, Duration.ZERO);
  }

  /** Converts the time of a line to the control members' clock. */
  LogLine align(LogLine line) {
    return line.shiftedBy(minSkew(line.vm()));
  }
}
