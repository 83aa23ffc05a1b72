package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * One entry VM hears for three seconds that upstreams tolerate few rejections, and then that they
 * no longer say so. Each of the messages about it is lost once, in a run of its own.
 */
class RejectionLimitLossTest {

  /** Time from the end of the limit after which no VM knows of it. */
  private static final int FORGOTTEN_AFTER_MS = 3_000;

  private static final int QUIET_MS = 2_000;

  /** What the messages of one run said. */
  private static final class Observer implements FakeEntryVms.MessageFilter {
    private final int lost;
    private final Map<Integer, Boolean> listedAt = new HashMap<>();
    private int messages;
    private int reports;

    private Observer(int lost) {
      this.lost = lost;
    }

    @Override
    public boolean arrives(int vm, Object message) {
      boolean isReport = message instanceof ServingMessage.RejectionLimits;
      if (!isReport && !(message instanceof ServingReply.RejectionLimits)) {
        return true;
      }
      reports += isReport ? 1 : 0;
      boolean arrives = messages++ != lost;
      if (arrives && message instanceof ServingReply.RejectionLimits list) {
        listedAt.put(vm, list.services().contains(TestPlans.PLAIN));
      }
      return arrives;
    }
  }

  /** Plays the three seconds and their end; returns the number of messages about the limit. */
  private static int play(int lost, boolean leaderIsKilled) {
    Observer observer = new Observer(lost);
    LimitedUpstreamRun run = new LimitedUpstreamRun(observer);
    run.simulateLimit(hears(RejectionLimit.NONE), hears(new RejectionLimit(3)), leaderIsKilled);
    for (int vm = 0; vm < LimitedUpstreamRun.VMS; vm++) {
      assertThat(observer.listedAt).as("lost message %d", lost).containsEntry(vm, true);
    }
    run.simulate(FORGOTTEN_AFTER_MS, hears(RejectionLimit.NONE));
    for (int vm = 0; vm < LimitedUpstreamRun.VMS; vm++) {
      assertThat(observer.listedAt).as("lost message %d", lost).containsEntry(vm, false);
    }
    int before = observer.reports;
    run.simulate(QUIET_MS, hears(RejectionLimit.NONE));
    assertThat(observer.reports).as("reports of a limit that has ended").isEqualTo(before);
    return observer.messages;
  }

  private static LimitedUpstreamRun.Response hears(RejectionLimit limit) {
    return (vm, nowNs) -> vm.rejectionLimit(TestPlans.PLAIN, limit, nowNs, nowNs);
  }

  /** Guards against a limit that a VM misses, or keeps for good, because a message was lost. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noLostMessageLeavesVmsOfDifferentOpinion(boolean leaderIsKilled) {
    int messages = play(-1, leaderIsKilled);
    assertThat(messages).isGreaterThan(LimitedUpstreamRun.VMS);
    for (int lost = 0; lost < messages; lost++) {
      play(lost, leaderIsKilled);
    }
  }
}
