package org.teaseltrail.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.UpstreamCondition;

/**
 * Tracks the newest condition of each incarnation of an upstream, and which of it the other side
 * already knows: at a VM the leader, at the leader all VMs. Its owner limits it to registered
 * incarnations; a condition that nobody renews fades to the usual one.
 */
public final class UpstreamConditionTracker {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Bound on an upstream's speed relative to the mean of its service; upstreams of a service differ
   * by a factor of up to five.
   */
  private static final double MAX_RELATIVE_LATENCY = 5;

  private final Map<UpstreamIncarnation, TrackedCondition> conditions = new LinkedHashMap<>();
  private boolean changed;

  /**
   * Records the work time that an upstream reported. A figure that isn't plausible is ignored.
   *
   * @param upstream the upstream
   * @param percent time that work takes there, in percent of the usual time
   * @param nowNs current time, in nanoseconds
   */
  public void recordWorkTime(UpstreamIncarnation upstream, int percent, long nowNs) {
    if (WorkTime.isPlausible(percent)) {
      condition(upstream).recordWorkTime(percent, nowNs);
      changed = true;
    }
  }

  /**
   * Records the time that one event of a stream took.
   *
   * @param upstream the upstream
   * @param elapsedMs the time, in milliseconds
   * @param nowNs current time, in nanoseconds
   */
  public void recordEventLatency(UpstreamIncarnation upstream, double elapsedMs, long nowNs) {
    if (isLatency(elapsedMs)) {
      condition(upstream).recordLatencySample(elapsedMs, nowNs);
      changed = true;
    }
  }

  /**
   * Merges a condition that another process heard; older figures than the known ones are ignored.
   *
   * @param heard the condition
   * @param nowNs current time, in nanoseconds
   */
  public void merge(UpstreamCondition heard, long nowNs) {
    long ageNs = Math.min(Math.max(0, heard.ageMs()), Integer.MAX_VALUE) * NS_PER_MS;
    TrackedCondition condition = condition(heard.upstream());
    if (WorkTime.isPlausible(heard.workTimePercent())) {
      condition.recordWorkTime(heard.workTimePercent(), nowNs - ageNs);
    }
    if (isLatency(heard.eventLatencyMs())) {
      condition.replaceLatency(heard.eventLatencyMs(), nowNs - ageNs);
    }
    changed = true;
  }

  /**
   * Merges a condition from the process that this tracker reports to, so that it isn't reported
   * back.
   *
   * @param heard the condition
   * @param nowNs current time, in nanoseconds
   */
  public void mergeKnown(UpstreamCondition heard, long nowNs) {
    merge(heard, nowNs);
    condition(heard.upstream()).markKnown();
  }

  /** Forgets what the other side knows, as another process has taken its place. */
  public void forgetKnown() {
    conditions.values().forEach(TrackedCondition::forgetKnown);
    changed = true;
  }

  /**
   * Returns whether there may be changes to report.
   *
   * @return false if nothing was recorded since the last call of {@link #takeChanges}
   */
  public boolean mayHaveChanges() {
    return changed;
  }

  /**
   * Returns the conditions that differ notably from what the other side knows, and marks them as
   * known.
   *
   * @param nowNs current time, in nanoseconds
   * @return the conditions with their ages
   */
  public List<UpstreamCondition> takeChanges(long nowNs) {
    changed = false;
    List<UpstreamCondition> changes = new ArrayList<>();
    conditions.forEach(
        (upstream, condition) -> condition.takeChange(upstream, nowNs).ifPresent(changes::add));
    return changes;
  }

  /**
   * Drops the conditions of all other incarnations.
   *
   * @param present the registered incarnations
   */
  public void retain(Set<UpstreamIncarnation> present) {
    conditions.keySet().retainAll(present);
  }

  /**
   * Returns the mean time between events of the upstreams for which one is known.
   *
   * @param upstreams upstreams of one service
   * @return milliseconds, 0 if none is known
   */
  public double meanEventLatencyMs(Collection<UpstreamIncarnation> upstreams) {
    return upstreams.stream()
        .flatMap(upstream -> Optional.ofNullable(conditions.get(upstream)).stream())
        .mapToDouble(TrackedCondition::eventLatencyMs)
        .filter(latencyMs -> latencyMs > 0)
        .average()
        .orElse(0);
  }

  /**
   * Returns how long work takes at an upstream at present, relative to the usual time of its
   * service: by the speed that its events showed, and by the work time that it reported.
   *
   * @param upstream the upstream
   * @param meanEventLatencyMs mean time between events in the service, 0 if unknown
   * @param nowNs current time, in nanoseconds
   * @return 1 for the usual time, and for an upstream of which nothing was heard recently
   */
  public double slowness(UpstreamIncarnation upstream, double meanEventLatencyMs, long nowNs) {
    TrackedCondition condition = conditions.get(upstream);
    if (condition == null) {
      return 1;
    }
    return condition.workTimeRatio(nowNs) * relativeLatency(condition, meanEventLatencyMs, nowNs);
  }

  private static double relativeLatency(
      TrackedCondition condition, double meanEventLatencyMs, long nowNs) {
    if (condition.eventLatencyMs() == 0 || meanEventLatencyMs == 0) {
      return 1;
    }
    double ratio = condition.eventLatencyMs() / meanEventLatencyMs;
    double bounded = Math.max(1 / MAX_RELATIVE_LATENCY, Math.min(MAX_RELATIVE_LATENCY, ratio));
    return 1 + (bounded - 1) * condition.latencyWeight(nowNs);
  }

  private TrackedCondition condition(UpstreamIncarnation upstream) {
    return conditions.computeIfAbsent(upstream, key -> new TrackedCondition());
  }

  private static boolean isLatency(double elapsedMs) {
    return elapsedMs > 0 && Double.isFinite(elapsedMs);
  }
}
