package org.teaseltrail.core.rollout;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Tells failed answers from others.
 *
 * <p>Guards against an upstream that ends and takes all with it that it worked on: the connections
 * that end at one upstream within a slice of time count once for each route.
 */
final class FailureMonitor {

  private record End(RouteId route, UpstreamId upstream) {}

  private final SymptomMonitor watch;
  private final Set<End> ended = new HashSet<>();

  FailureMonitor() {
    watch = new SymptomMonitor(Symptom.FAILURE);
  }

  void observe(Observation seen) {
    boolean countedAlready =
        seen.value() == Observation.BROKEN && !ended.add(new End(seen.route(), seen.upstream()));
    if (!countedAlready) {
      boolean failed = seen.value() != Observation.GOOD;
      watch.observe(seen.route(), seen.upstream(), seen.ordered(), AnswerCounts.one(failed));
    }
  }

  Optional<Verdict> evaluate() {
    ended.clear();
    return watch.evaluate();
  }

  boolean isSuspicious() {
    return watch.isSuspicious();
  }
}
