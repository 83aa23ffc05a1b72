package org.teaseltrail.load.workload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.teaseltrail.core.message.RequestKind;

/**
 * Plans all requests of a run before it starts. The load is open-loop: runs with the same seed
 * offer the same requests, independent of how the system handles them, so that their results can be
 * compared in pairs.
 */
public final class WorkloadPlanner {

  private final Deployment deployment;
  private final double load;
  private final List<Burst> bursts;

  /**
   * Creates a planner.
   *
   * @param deployment the deployment that defines the workload
   * @param load the offered load as a factor of the pool's capacity
   * @param bursts intervals with a higher load
   */
  public WorkloadPlanner(Deployment deployment, double load, List<Burst> bursts) {
    this.deployment = deployment;
    this.load = load;
    this.bursts = List.copyOf(bursts);
  }

  /**
   * Plans the generation requests of a run, earliest first.
   *
   * @param durationNs time until which requests are sent
   * @param seed seed of the random workload
   */
  public List<PlannedRequest> planGenerations(long durationNs, long seed) {
    return plan(durationNs, seed, List.of(RequestKind.GENERATION));
  }

  /**
   * Plans all requests of a run, earliest first.
   *
   * @param durationNs time until which requests are sent
   * @param seed seed of the random workload
   */
  public List<PlannedRequest> planAll(long durationNs, long seed) {
    return plan(durationNs, seed, List.of(RequestKind.values()));
  }

  private List<PlannedRequest> plan(long durationNs, long seed, List<RequestKind> targets) {
    SplittableRandom root = new SplittableRandom(seed);
    List<PlannedRequest> requests = new ArrayList<>();
    for (KindSpec kind : deployment.kinds()) {
      SplittableRandom random = root.split();
      if (targets.contains(kind.target())) {
        requests.addAll(planKind(kind, durationNs, random));
      }
    }
    requests.sort(Comparator.comparingLong(PlannedRequest::atNs));
    return numbered(requests);
  }

  private List<PlannedRequest> planKind(KindSpec kind, long durationNs, SplittableRandom random) {
    double ratePerSecond = new PoolCapacity(deployment).ratePerSecond(kind) * load;
    RequestGenerator drawer = new RequestGenerator(deployment, kind, random);
    List<PlannedRequest> requests = new ArrayList<>();
    long atNs = drawer.sampleInterArrivalNs(ratePerSecond * factorAt(0));
    while (atNs < durationNs) {
      requests.add(drawer.generate(atNs));
      atNs += drawer.sampleInterArrivalNs(ratePerSecond * factorAt(atNs));
    }
    return requests;
  }

  private double factorAt(long atNs) {
    return bursts.stream().mapToDouble(b -> b.factorAt(atNs)).max().orElse(1);
  }

  private static List<PlannedRequest> numbered(List<PlannedRequest> requests) {
    List<PlannedRequest> numbered = new ArrayList<>(requests.size());
    for (PlannedRequest r : requests) {
      numbered.add(
          new PlannedRequest(
              numbered.size(),
              r.atNs(),
              r.kind(),
              r.customer(),
              r.tier(),
              r.prompt(),
              r.outputTokens()));
    }
    return numbered;
  }
}
