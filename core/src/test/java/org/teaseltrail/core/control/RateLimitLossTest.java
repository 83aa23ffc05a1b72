package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * One entry VM hears for three seconds that an upstream has a rate limit, and then that it has none
 * any more. Each of the leader's lists of limits is lost once, in a run of its own.
 */
class RateLimitLossTest {

  private static final int VMS = 3;
  private static final int WARM_UP_MS = 1_000;
  private static final int RESPONSE_INTERVAL_MS = 100;
  private static final int LIMITED_MS = 3_000;

  /** Time from the end of the limit after which no VM takes the upstream for limited. */
  private static final int LIFTED_AFTER_MS = 5_000;

  /** The VMs' newest reports of one run. */
  private static final class Observer implements FakeEntryVms.MessageFilter {
    private final int lost;
    private final Map<Integer, Boolean> limitedAt = new HashMap<>();
    private int lists;

    private Observer(int lost) {
      this.lost = lost;
    }

    @Override
    public boolean arrives(int vm, Record message) {
      if (message instanceof ServingMessage.Limits report && !report.sightings().isEmpty()) {
        limitedAt.put(vm, report.sightings().get(0).limit().isLimited());
      }
      return !(message instanceof ServingReply.LimitUpdate) || lists++ != lost;
    }
  }

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private final Registration engine = ForwardSamples.upstream("e1", TestPlans.ENGINES, 4);
  private FakeEntryVms vms;

  /** Plays the three seconds and their end; returns the number of lists that the leader sent. */
  private int play(int lost, boolean leaderIsKilled) {
    Observer observer = new Observer(lost);
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    vms =
        new FakeEntryVms(
            group, VMS, new SplittableRandom(1), ContentionSettings.OFF, (vm, action) -> {});
    vms.useFilter(observer);
    vms.start();
    sendHeartbeats();
    simulate(WARM_UP_MS, RateLimit.UNLIMITED);
    simulate(LIMITED_MS / 2, new RateLimit(5));
    if (leaderIsKilled) {
      group.leader().kill();
    }
    simulate(LIMITED_MS / 2, new RateLimit(5));
    simulate(LIFTED_AFTER_MS, RateLimit.UNLIMITED);
    for (int vm = 0; vm < VMS; vm++) {
      assertThat(observer.limitedAt.getOrDefault(vm, false))
          .as("limited at VM %d, list %d lost", vm, lost)
          .isFalse();
    }
    return observer.lists;
  }

  private void simulate(int lengthMs, RateLimit limit) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (ms % RESPONSE_INTERVAL_MS == 0) {
        vms.node(0)
            .backpressure()
            .limit(engine.upstreamIncarnation(), limit, group.nowNs(), group.nowNs());
      }
    }
  }

  private void sendHeartbeats() {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        group.call(member, new OperatorRequest.Heartbeat(engine), 0);
      }
    }
    group.after(1_000_000_000L, this::sendHeartbeats);
  }

  /** Guards against a VM that waits for permits of a limit whose end it missed. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noLostListLeavesVmWithLimitThatHasEnded(boolean leaderIsKilled) {
    int lists = new RateLimitLossTest().play(-1, leaderIsKilled);
    assertThat(lists).isGreaterThanOrEqualTo(VMS);
    for (int lost = 0; lost < lists; lost++) {
      new RateLimitLossTest().play(lost, leaderIsKilled);
    }
  }
}
