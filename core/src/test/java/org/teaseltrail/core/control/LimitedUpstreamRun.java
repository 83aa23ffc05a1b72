package org.teaseltrail.core.control;

import java.util.SplittableRandom;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.forward.BackpressureHandler;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;

/** Three control members and three entry VMs, of which one hears limits in responses. */
final class LimitedUpstreamRun {

  static final int VMS = 3;

  private static final int WARM_UP_MS = 1_000;
  private static final int RESPONSE_INTERVAL_MS = 100;
  private static final int LIMITED_MS = 3_000;

  /** A response that arrives at the VM. */
  interface Response {
    void arrive(BackpressureHandler vm, long nowNs);
  }

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private final FakeEntryVms vms =
      new FakeEntryVms(
          group, VMS, new SplittableRandom(1), ContentionSettings.OFF, (vm, action) -> {});

  LimitedUpstreamRun(FakeEntryVms.MessageFilter filter) {
    group.call(
        group.leader(),
        new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    vms.useFilter(filter);
    vms.start();
  }

  FakeControlGroup group() {
    return group;
  }

  /** Plays three seconds of responses with a limit after calm ones; the leader may be killed. */
  void simulateLimit(Response unlimited, Response limited, boolean leaderIsKilled) {
    simulate(WARM_UP_MS, unlimited);
    simulate(LIMITED_MS / 2, limited);
    if (leaderIsKilled) {
      group.leader().kill();
    }
    simulate(LIMITED_MS / 2, limited);
  }

  /** Advances the time while responses arrive at the first VM. */
  void simulate(int lengthMs, Response response) {
    for (int ms = 0; ms < lengthMs; ms++) {
      group.run(1);
      vms.tick();
      if (ms % RESPONSE_INTERVAL_MS == 0) {
        response.arrive(vms.node(0).backpressure(), group.nowNs());
      }
    }
  }
}
