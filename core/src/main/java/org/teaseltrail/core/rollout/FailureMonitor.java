package org.teaseltrail.core.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Monitors the failure rate of the target version.
 *
 * <p>When an upstream crashes, all its requests fail at once, which must not count as many failures
 * of the version. Broken connections to one upstream within an evaluation interval are therefore
 * counted once per route.
 */
final class FailureMonitor {

  private record BrokenConnection(RouteId route, UpstreamId upstream) {}

  private final SymptomMonitor monitor;
  private final Set<BrokenConnection> counted = new HashSet<>();

  FailureMonitor() {
    monitor = new SymptomMonitor(Symptom.FAILURE);
  }

  void observe(Observation observation) {
    boolean alreadyCounted =
        observation.value() == Observation.BROKEN
            && !counted.add(new BrokenConnection(observation.route(), observation.upstream()));
    if (!alreadyCounted) {
      boolean failed = observation.value() != Observation.GOOD;
      monitor.observe(
          observation.route(),
          observation.upstream(),
          observation.ordered(),
          AnswerCounts.one(failed));
    }
  }

  Optional<Verdict> evaluate() {
    counted.clear();
    return monitor.evaluate();
  }

  boolean isSuspicious() {
    return monitor.isSuspicious();
  }
}
