package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.TestPlans;

/**
 * Sends more requests than there are slots to one entry VM: a short overload, and callers that
 * waited for a start. Most streams have a latency objective of 0.5 s; an engine has four or eight
 * slots, and a request takes 0.3 s.
 */
class QueueUnderLoadTest extends ForwardNodeTestBase {

  private static final int REQUEST_MS = 300;

  private final Map<Long, Long> arrivedMs = new HashMap<>();
  private final Map<Long, Long> endsMs = new HashMap<>();
  private final List<Long> refusedAfterMs = new ArrayList<>();
  private final List<Long> dispatchedAfterMs = new ArrayList<>();

  private long nowMs() {
    return nowNs / MS;
  }

  private void recordActions() {
    for (ForwardAction action : actions) {
      if (action instanceof ForwardAction.Dispatch dispatch) {
        endsMs.put(dispatch.request(), nowMs() + REQUEST_MS);
        dispatchedAfterMs.add(nowMs() - arrivedMs.get(dispatch.request()));
      } else if (action instanceof ForwardAction.Refuse refuse) {
        refusedAfterMs.add(nowMs() - arrivedMs.get(refuse.request()));
      }
    }
    actions = List.of();
  }

  /** After a short overload queued requests are answered, though late, and none is refused. */
  @Test
  void shortOverloadCostsNobodyTheAnswer() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 4));
    for (int i = 0; i < 6; i++) {
      arrivedMs.put(lastNumber + 1, nowMs());
      arrive("/stream/x");
      recordActions();
    }
    int ms = 0;
    while (!endsMs.isEmpty()) {
      nowNs += 10 * MS;
      ms += 10;
      List<Long> ended = endsMs.keySet().stream().filter(id -> endsMs.get(id) <= nowMs()).toList();
      for (long id : ended) {
        endsMs.remove(id);
        end(id, AttemptOutcome.ANSWERED);
        recordActions();
      }
    }
    assertThat(refusedAfterMs).isEmpty();
    assertThat(dispatchedAfterMs).hasSize(6);
    assertThat(ms).isLessThan(700);
  }

  /**
   * A VM has just started, and twenty callers have waited for it. Its queue had no measured rate
   * yet and was shed down to seven requests, although the slots serve all of them within a second.
   */
  @Test
  void callersThatWaitedForStartAreNotShed() {
    serveWith(TestPlans.plan(1), upstream("e1", TestPlans.ENGINES, 8));
    for (int i = 0; i < 20; i++) {
      arrivedMs.put(lastNumber + 1, nowMs());
      arrive("/stream/x");
      recordActions();
    }
    assertThat(dispatchedAfterMs).hasSize(8);
    assertThat(refusedAfterMs).isEmpty();
  }
}
