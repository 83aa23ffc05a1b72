package org.teaseltrail.core.forward;

import java.util.List;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Rates upstreams by the expected time to the request's first event. It excludes those whose
 * streams the prompt would delay longer than callers accept, as long as there is any other.
 */
final class ExpectedTimeScorer implements UpstreamScorer {

  /**
   * Random addition to an estimate, relative to it: smaller differences aren't significant, and VMs
   * with the same view should not all select the same upstream.
   */
  private static final double JITTER = 0.2;

  private final RequestEstimate estimate;
  private final boolean avoidsDelays;
  private final double affinity;
  private final RandomGenerator random;
  private final long nowNs;

  /**
   * Creates a scorer.
   *
   * @param estimate the estimate for the request
   * @param candidates all upstreams that may serve it, with or without capacity
   * @param affinity fraction of the time that is saved where the prompt's prefix is cached
   * @param random source of the random addition
   * @param nowNs current time, in nanoseconds
   */
  ExpectedTimeScorer(
      RequestEstimate estimate,
      List<UpstreamState> candidates,
      double affinity,
      RandomGenerator random,
      long nowNs) {
    this.estimate = estimate;
    this.affinity = affinity;
    this.random = random;
    this.nowNs = nowNs;
    avoidsDelays = candidates.stream().anyMatch(upstream -> !estimate.delaysStreams(upstream));
  }

  /** Returns whether the request may go to an upstream. */
  boolean accepts(UpstreamState upstream) {
    return !avoidsDelays || !estimate.delaysStreams(upstream);
  }

  @Override
  public OptionalDouble score(UpstreamState upstream, boolean isPreferred) {
    if (!accepts(upstream)) {
      return OptionalDouble.empty();
    }
    double expectedMs = estimate.firstEventMs(upstream) * (isPreferred ? 1 - affinity : 1);
    return OptionalDouble.of(
        expectedMs * (1 + random.nextDouble() * JITTER) / upstream.successRate(nowNs));
  }
}
