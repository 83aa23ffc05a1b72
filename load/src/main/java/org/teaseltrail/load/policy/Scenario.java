package org.teaseltrail.load.policy;

import java.util.List;
import org.teaseltrail.load.workload.Burst;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;
import org.teaseltrail.load.workload.WorkloadPlanner;

/**
 * Workload and fault under which a policy is simulated. Only requests that arrive in the
 * measurement interval, which follows the warm-up, are measured. Further requests arrive after the
 * interval until the longest useful deadline has passed, so that the load doesn't drop while
 * responses to measured requests are pending.
 *
 * @param deployment the deployment that defines workload and engines
 * @param load the offered load as a factor of the pool's capacity
 * @param fault the fault to inject
 * @param warmUpNs duration of the warm-up, whose requests aren't measured
 * @param measuredNs duration of the measurement interval
 */
public record Scenario(
    Deployment deployment, double load, Fault fault, long warmUpNs, long measuredNs) {

  private static final long NS_PER_MS = 1_000_000;
  private static final double BURST_FACTOR = 3;
  private static final int BURST_DURATION_DIVISOR = 10;

  /** Returns whether a request arrives in the measurement interval. */
  boolean counts(PlannedRequest request) {
    return request.atNs() >= warmUpNs && request.atNs() < warmUpNs + measuredNs;
  }

  /** Returns the end of the run. */
  long endNs() {
    return warmUpNs + measuredNs + deployment.longestUsefulDeadlineMs() * NS_PER_MS;
  }

  /** Returns the middle of the measurement interval. */
  long measuredMiddleNs() {
    return warmUpNs + measuredNs / 2;
  }

  /** Returns the end of the first third of the measurement interval. */
  long measuredThirdNs() {
    return warmUpNs + measuredNs / 3;
  }

  List<PlannedRequest> plan(long seed) {
    return new WorkloadPlanner(deployment, load, bursts()).planGenerations(endNs(), seed);
  }

  private List<Burst> bursts() {
    return fault == Fault.BURST
        ? List.of(
            new Burst(
                measuredMiddleNs(),
                measuredMiddleNs() + measuredNs / BURST_DURATION_DIVISOR,
                BURST_FACTOR))
        : List.of();
  }
}
