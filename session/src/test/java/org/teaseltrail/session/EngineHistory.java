package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.RequestId;

/** Keeps what the engines have seen over all their lives, and checks it. */
final class EngineHistory {

  /** A session's lifetime and an announcement's, with what clocks may drift apart meanwhile. */
  private static final long LEAVING_NS = 3_060 * Timeline.MS;

  private final SessionWorld world;
  private final Map<RequestId, Integer> submissions = new HashMap<>();
  private final Map<RequestId, Integer> runs = new HashMap<>();

  EngineHistory(SessionWorld world) {
    this.world = world;
  }

  void submitted(RequestId request) {
    assertThat(submissions.merge(request, 1, Integer::sum))
        .describedAs("dispatches of %s as the engines saw it", request)
        .isEqualTo(1);
  }

  void transmitted(RequestId request, EngineProcess engine) {
    long nowNs = world.timeline().nowNs();
    assertThat(nowNs)
        .describedAs("time of new work %s for leaving %s", request, engine.name())
        .isLessThanOrEqualTo(saturated(engine.leavingSinceNs()))
        .isLessThanOrEqualTo(saturated(world.drainedSinceNs(engine.id())));
  }

  void ran(RequestId request) {
    runs.merge(request, 1, Integer::sum);
  }

  int runs(RequestId request) {
    return runs.getOrDefault(request, 0);
  }

  private static long saturated(long sinceNs) {
    return sinceNs == Long.MAX_VALUE ? Long.MAX_VALUE : sinceNs + LEAVING_NS;
  }
}
