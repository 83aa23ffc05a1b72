package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.backpressure.RejectionLimit;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * One entry VM hears for three seconds that upstreams tolerate few rejections, and then that they
 * no longer say so. Each of the messages about it is lost once, in a run of its own.
 */
class RejectionLimitLossTest {

  private static final int VMS = 3;
  private static final int WARM_UP_MS = 1_000;
  private static final int RESPONSE_INTERVAL_MS = 100;
  private static final int LIMITED_MS = 3_000;

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
    public boolean arrives(int vm, Record message) {
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

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeEntryVms vms;

  /** Plays the three seconds and their end; returns the number of messages about the limit. */
  private static int play(int lost, boolean leaderIsKilled) {
    return new RejectionLimitLossTest().playOnce(lost, leaderIsKilled);
  }

  private int playOnce(int lost, boolean leaderIsKilled) {
    Observer observer = new Observer(lost);
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    vms =
        new FakeEntryVms(
            group, VMS, new SplittableRandom(1), ContentionSettings.OFF, (vm, action) -> {});
    vms.useFilter(observer);
    vms.start();
    simulate(WARM_UP_MS, RejectionLimit.NONE);
    simulate(LIMITED_MS / 2, new RejectionLimit(3));
    if (leaderIsKilled) {
      group.leader().kill();
    }
    simulate(LIMITED_MS / 2, new RejectionLimit(3));
    for (int vm = 0; vm < VMS; vm++) {
      assertThat(observer.listedAt).as("lost message %d", lost).containsEntry(vm, true);
    }
    simulate(FORGOTTEN_AFTER_MS, RejectionLimit.NONE);
    for (int vm = 0; vm < VMS; vm++) {
      assertThat(observer.listedAt).as("lost message %d", lost).containsEntry(vm, false);
    }
    int before = observer.reports;
    simulate(QUIET_MS, RejectionLimit.NONE);
    assertThat(observer.reports).as("reports of a limit that has ended").isEqualTo(before);
    return observer.messages;
  }

  private void simulate(int lengthMs, RejectionLimit limit) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (ms % RESPONSE_INTERVAL_MS == 0) {
        vms.node(0)
            .backpressure()
            .rejectionLimit(TestPlans.PLAIN, limit, group.nowNs(), group.nowNs());
      }
    }
  }

  /** Guards against a limit that a VM misses, or keeps for good, because a message was lost. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noLostMessageLeavesVmsOfDifferentOpinion(boolean leaderIsKilled) {
    int messages = play(-1, leaderIsKilled);
    assertThat(messages).isGreaterThan(VMS);
    for (int lost = 0; lost < messages; lost++) {
      play(lost, leaderIsKilled);
    }
  }
}
