package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.TestPlans;

/**
 * Plays more requests than places at one entry VM. The patterns: a short overload, and callers that
 * have waited for a start. Figures: an objective of 0.5 s as most of the users' streams have it, an
 * engine of four or eight places, and 0.3 s for a request.
 */
class QueueUnderLoadTest extends ForwardNodeTestBase {

  private static final int HELD_MS = 300;

  private final Map<Long, Long> arrivedMs = new HashMap<>();
  private final Map<Long, Long> endsMs = new HashMap<>();
  private final List<Long> refusedAfterMs = new ArrayList<>();
  private final List<Long> dispatchedAfterMs = new ArrayList<>();

  private long nowMs() {
    return nowNs / MS;
  }

  private void take() {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.Dispatch dispatch) {
        endsMs.put(dispatch.request(), nowMs() + HELD_MS);
        dispatchedAfterMs.add(nowMs() - arrivedMs.get(dispatch.request()));
      } else if (action instanceof ForwardAction.Refuse refuse) {
        refusedAfterMs.add(nowMs() - arrivedMs.get(refuse.request()));
      }
    }
    actions = List.of();
  }

  /** A short overload ends: those that wait are served, though late, and nobody is refused. */
  @Test
  void shortOverloadCostsNobodyTheAnswer() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 4));
    for (int i = 0; i < 6; i++) {
      arrivedMs.put(lastNumber + 1, nowMs());
      arrive("/stream/x");
      take();
    }
    int ms = 0;
    while (!endsMs.isEmpty()) {
      nowNs += 10 * MS;
      ms += 10;
      List<Long> ended = endsMs.keySet().stream().filter(id -> endsMs.get(id) <= nowMs()).toList();
      for (long id : ended) {
        endsMs.remove(id);
        end(id, AttemptOutcome.ANSWERED);
        take();
      }
    }
    assertThat(refusedAfterMs).isEmpty();
    assertThat(dispatchedAfterMs).hasSize(6);
    assertThat(ms).isLessThan(700);
  }

  /**
   * A VM has just been started, and twenty callers have waited for it. Its line had no pace yet and
   * was cut to seven, though its places serve all of them within a second.
   */
  @Test
  void callersThatWaitedForStartAreNotShed() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 8));
    for (int i = 0; i < 20; i++) {
      arrivedMs.put(lastNumber + 1, nowMs());
      arrive("/stream/x");
      take();
    }
    assertThat(dispatchedAfterMs).hasSize(8);
    assertThat(refusedAfterMs).isEmpty();
  }
}
