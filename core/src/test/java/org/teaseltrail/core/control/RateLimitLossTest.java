package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * One entry VM hears for three seconds that an upstream has a rate limit, and then that it has none
 * any more. Each of the leader's lists of limits is lost once, in a run of its own.
 */
class RateLimitLossTest {

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
    public boolean arrives(int vm, Object message) {
      if (message instanceof ServingMessage.Limits report && !report.sightings().isEmpty()) {
        limitedAt.put(vm, report.sightings().get(0).limit().isLimited());
      }
      return !(message instanceof ServingReply.LimitUpdate) || lists++ != lost;
    }
  }

  private final Registration engine = ForwardSamples.upstream("e1", TestPlans.ENGINES, 4);

  /** Plays the three seconds and their end; returns the number of lists that the leader sent. */
  private int play(int lost, boolean leaderIsKilled) {
    Observer observer = new Observer(lost);
    LimitedUpstreamRun run = new LimitedUpstreamRun(observer);
    sendHeartbeats(run.group());
    run.simulateLimit(hears(RateLimit.UNLIMITED), hears(new RateLimit(5)), leaderIsKilled);
    run.simulate(LIFTED_AFTER_MS, hears(RateLimit.UNLIMITED));
    for (int vm = 0; vm < LimitedUpstreamRun.VMS; vm++) {
      assertThat(observer.limitedAt.getOrDefault(vm, false))
          .as("limited at VM %d, list %d lost", vm, lost)
          .isFalse();
    }
    return observer.lists;
  }

  private LimitedUpstreamRun.Response hears(RateLimit limit) {
    return (vm, nowNs) -> vm.limit(engine.upstreamIncarnation(), limit, nowNs, nowNs);
  }

  private void sendHeartbeats(FakeControlGroup group) {
    for (FakeControlMember member : group.members()) {
      if (member.isServing()) {
        group.call(member, new OperatorRequest.Heartbeat(engine), 0);
      }
    }
    group.after(1_000_000_000L, () -> sendHeartbeats(group));
  }

  /** Guards against a VM that waits for permits of a limit whose end it missed. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noLostListLeavesVmWithLimitThatHasEnded(boolean leaderIsKilled) {
    int lists = play(-1, leaderIsKilled);
    assertThat(lists).isGreaterThanOrEqualTo(LimitedUpstreamRun.VMS);
    for (int lost = 0; lost < lists; lost++) {
      play(lost, leaderIsKilled);
    }
  }
}
