package org.teaseltrail.core.forward;

import org.teaseltrail.core.placement.ServiceTimes;
import org.teaseltrail.core.placement.UpstreamConditionTracker;
import org.teaseltrail.core.placement.UpstreamWorkload;

/** Estimate of what one request takes at each upstream of its service at one time. */
final class RequestEstimate {

  private final ServiceTimes times;
  private final double meanEventLatencyMs;
  private final UpstreamConditionTracker conditions;
  private final int promptTokens;
  private final long maxPauseMs;
  private final long nowNs;

  RequestEstimate(
      ActiveRequest request,
      ServiceTimes times,
      double meanEventLatencyMs,
      UpstreamConditionTracker conditions,
      long nowNs) {
    this.times = times;
    this.meanEventLatencyMs = meanEventLatencyMs;
    this.conditions = conditions;
    this.nowNs = nowNs;
    promptTokens = request.request().promptTokens().orElse(0);
    maxPauseMs = request.route().eventGapMs();
  }

  /** Returns whether the estimates are times, and not only in the right order. */
  boolean isAbsolute() {
    return meanEventLatencyMs > 0;
  }

  /** Returns the expected time from the dispatch to the first event, in milliseconds. */
  double firstEventMs(UpstreamState upstream) {
    return times.expectedFirstEventMs(workload(upstream), promptTokens);
  }

  /**
   * Returns whether streams at an upstream would pause longer than callers accept while the
   * request's prompt is read there.
   */
  boolean delaysStreams(UpstreamState upstream) {
    return maxPauseMs > 0 && times.expectedPauseMs(workload(upstream), promptTokens) > maxPauseMs;
  }

  private UpstreamWorkload workload(UpstreamState upstream) {
    int slots = Math.max(1, upstream.registration().slots());
    return new UpstreamWorkload(
        conditions.slowness(
            upstream.registration().upstreamIncarnation(), meanEventLatencyMs, nowNs),
        upstream.unread(),
        upstream.load(nowNs) / slots);
  }
}
