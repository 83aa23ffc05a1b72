package org.teaseltrail.load.policy;

import java.util.List;
import org.teaseltrail.load.workload.Burst;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;
import org.teaseltrail.load.workload.WorkloadPlan;

/**
 * Is what a policy is put to. Requests that arrive between warm-up and end of the measured time
 * count; others go on arriving until the most patient of those has had its useful deadline, so that
 * the load doesn't ease while answers are still awaited.
 *
 * @param deployment whose workload and engines
 * @param load how much of it, as a factor on what fits
 * @param fault what goes wrong
 * @param warmUpNs time before requests count
 * @param measuredNs time in which requests count
 */
public record Scenario(
    Deployment deployment, double load, Fault fault, long warmUpNs, long measuredNs) {

  private static final long NS_PER_MS = 1_000_000;
  private static final double BURST_FACTOR = 3;
  private static final int BURST_PART = 10;

  /** Returns whether a request counts. */
  boolean counts(PlannedRequest request) {
    return request.atNs() >= warmUpNs && request.atNs() < warmUpNs + measuredNs;
  }

  /** Returns when the run ends. */
  long endNs() {
    return warmUpNs + measuredNs + deployment.longestUsefulDeadlineMs() * NS_PER_MS;
  }

  /** Returns the middle of the measured time. */
  long middleNs() {
    return warmUpNs + measuredNs / 2;
  }

  /** Returns a third of the measured time after its start. */
  long thirdNs() {
    return warmUpNs + measuredNs / 3;
  }

  List<PlannedRequest> plan(long seed) {
    return new WorkloadPlan(deployment, load, bursts()).generations(endNs(), seed);
  }

  private List<Burst> bursts() {
    return fault == Fault.BURST
        ? List.of(new Burst(middleNs(), middleNs() + measuredNs / BURST_PART, BURST_FACTOR))
        : List.of();
  }
}
