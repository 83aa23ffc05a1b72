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
final class FailureWatch {

  private record End(RouteId route, UpstreamId upstream) {}

  private final SymptomWatch watch;
  private final Set<End> ended = new HashSet<>();

  FailureWatch() {
    watch = new SymptomWatch(Symptom.FAILURE);
  }

  void take(Observation seen) {
    boolean countedAlready =
        seen.value() == Observation.BROKEN && !ended.add(new End(seen.route(), seen.upstream()));
    if (!countedAlready) {
      boolean failed = seen.value() != Observation.GOOD;
      watch.take(seen.route(), seen.upstream(), seen.ordered(), Trials.one(failed));
    }
  }

  Optional<Verdict> weigh() {
    ended.clear();
    return watch.weigh();
  }

  boolean isSuspicious() {
    return watch.isSuspicious();
  }
}
