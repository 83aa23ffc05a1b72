package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;

/**
 * Tracks the requests that engines received over all their incarnations. Checks that each request
 * is dispatched at most once, and none to an engine that began to leave or drain longer ago than
 * {@link #MAX_DISPATCH_DELAY_NS}.
 */
final class EngineRequestTracker {

  /**
   * Maximum time for which an engine that leaves or drains may still receive new requests: the
   * lifetime of a session and of an announcement, plus the drift between two clocks in that time.
   */
  private static final long MAX_DISPATCH_DELAY_NS = 3_060 * Timeline.MS;

  private final SimulatedCluster cluster;
  private final Map<RequestId, Integer> submissions = new HashMap<>();
  private final Map<RequestId, Integer> runs = new HashMap<>();

  EngineRequestTracker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void submitted(RequestId request) {
    assertThat(submissions.merge(request, 1, Integer::sum))
        .describedAs("dispatches of %s received by the engines", request)
        .isEqualTo(1);
  }

  void onTransmitted(RequestId request, EngineProcess engine) {
    long nowNs = cluster.timeline().nowNs();
    assertThat(nowNs)
        .describedAs(
            "time at which %s was dispatched to %s, which leaves or drains", request, engine.name())
        .isLessThanOrEqualTo(latestDispatchNs(engine.leavingSinceNs()))
        .isLessThanOrEqualTo(latestDispatchNs(cluster.drainedSinceNs(engine.id())));
  }

  void ran(RequestId request) {
    runs.merge(request, 1, Integer::sum);
  }

  int runs(RequestId request) {
    return runs.getOrDefault(request, 0);
  }

  private static long latestDispatchNs(long sinceNs) {
    return sinceNs == Long.MAX_VALUE ? Long.MAX_VALUE : sinceNs + MAX_DISPATCH_DELAY_NS;
  }
}
