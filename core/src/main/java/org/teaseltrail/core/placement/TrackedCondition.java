package org.teaseltrail.core.placement;

import java.util.Optional;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.UpstreamCondition;

/**
 * The condition of one incarnation of an upstream, and the part of it that the other side knows.
 */
final class TrackedCondition {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Age at which a reported work time has no weight any more. It changes many times per second, so
   * that one reported at a random moment is out of date after half a second at the latest; the
   * weight is the probability that it still holds.
   */
  private static final double WORK_TIME_LIFETIME_NS = 500 * NS_PER_MS;

  /** Time in which a measured latency loses two thirds of its weight. */
  private static final double LATENCY_DECAY_NS = 3_000 * NS_PER_MS;

  /** Weight of the newest sample in a latency that is up to date. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** Ratio of two work times or latencies from which on they lead to other choices. */
  private static final double NOTABLE_RATIO = 1.2;

  /** Time after which a latency is reported again: processes may have started since. */
  private static final long LATENCY_REPEAT_NS = 5_000 * NS_PER_MS;

  private WorkTimeReport workTime = WorkTimeReport.NONE;
  private WorkTimeReport knownWorkTime = WorkTimeReport.NONE;
  private double latencyMs;
  private long latencyNs;
  private double knownLatencyMs;
  private long knownLatencyNs;

  /**
   * A work time with the time of its report.
   *
   * @param percent the work time, in percent of the usual time
   * @param atNs when the upstream reported it
   */
  private record WorkTimeReport(int percent, long atNs) {

    private static final WorkTimeReport NONE = new WorkTimeReport(WorkTime.USUAL_PERCENT, 0);

    /** Returns the expected work time now, relative to the usual one. */
    private double ratio(long nowNs) {
      double weight = 1 - Math.max(0, nowNs - atNs) / WORK_TIME_LIFETIME_NS;
      double reported = (double) percent / WorkTime.USUAL_PERCENT;
      return 1 + (reported - 1) * Math.max(0, weight);
    }
  }

  void recordWorkTime(int percent, long atNs) {
    if (workTime == WorkTimeReport.NONE || atNs > workTime.atNs()) {
      workTime = new WorkTimeReport(percent, atNs);
    }
  }

  /** Adds a measured latency; the older the known one is, the less it counts. */
  void recordLatencySample(double sampleMs, long nowNs) {
    double weight = 1 - (1 - SAMPLE_WEIGHT) * latencyWeight(nowNs);
    latencyMs = latencyMs == 0 ? sampleMs : latencyMs + weight * (sampleMs - latencyMs);
    latencyNs = nowNs;
  }

  /** Replaces the latency by one that includes another process's samples. */
  void replaceLatency(double newerMs, long atNs) {
    if (latencyMs == 0 || atNs > latencyNs) {
      latencyMs = newerMs;
      latencyNs = atNs;
    }
  }

  void markKnown() {
    knownWorkTime = workTime;
    knownLatencyMs = latencyMs;
    knownLatencyNs = latencyNs;
  }

  void forgetKnown() {
    knownWorkTime = WorkTimeReport.NONE;
    knownLatencyMs = 0;
    knownLatencyNs = 0;
  }

  /** Returns what differs notably from what the other side knows, and marks it as known. */
  Optional<UpstreamCondition> takeChange(UpstreamIncarnation upstream, long nowNs) {
    boolean newWorkTime = isNotable(workTime.ratio(nowNs), knownWorkTime.ratio(nowNs));
    boolean newLatency = isLatencyDue();
    if (!newWorkTime && !newLatency) {
      return Optional.empty();
    }
    long ageNs = nowNs - (newWorkTime ? workTime.atNs() : latencyNs);
    UpstreamCondition change =
        new UpstreamCondition(
            upstream,
            newWorkTime ? workTime.percent() : 0,
            Math.max(0, ageNs / NS_PER_MS),
            newLatency ? latencyMs : 0);
    if (newWorkTime) {
      knownWorkTime = workTime;
    }
    if (newLatency) {
      knownLatencyMs = latencyMs;
      knownLatencyNs = latencyNs;
    }
    return Optional.of(change);
  }

  private boolean isLatencyDue() {
    return latencyMs > 0
        && (knownLatencyMs == 0
            || isNotable(latencyMs, knownLatencyMs)
            || latencyNs - knownLatencyNs > LATENCY_REPEAT_NS);
  }

  private static boolean isNotable(double one, double other) {
    return Math.max(one, other) > NOTABLE_RATIO * Math.min(one, other);
  }

  double workTimeRatio(long nowNs) {
    return workTime.ratio(nowNs);
  }

  /** Returns the smoothed time between two events, in milliseconds; 0 if unknown. */
  double eventLatencyMs() {
    return latencyMs;
  }

  /** Returns the weight of the latency, from 1 when it is new down to 0. */
  double latencyWeight(long nowNs) {
    return StrictMath.exp(-Math.max(0, nowNs - latencyNs) / LATENCY_DECAY_NS);
  }
}
