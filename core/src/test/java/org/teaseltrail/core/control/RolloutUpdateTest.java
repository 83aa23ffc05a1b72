package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

class RolloutUpdateTest {

  private static final VmId VM = new VmId("entry");
  private static final int SYNC_MS = 250;
  private static final int RESEND_INTERVAL_MS = 1_100;

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeControlMember leader;
  private long sequence;

  @BeforeEach
  void order() {
    leader = group.leader();
    group.call(leader, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    sync(0, 0);
    RolloutOrder order = new RolloutOrder(TestPlans.ENGINES, new UpstreamVersion("v2"), 12_000);
    group.call(leader, new OperatorRequest.StartRollout(order));
  }

  private void sync(long registryRevision, long rolloutRevision) {
    sequence++;
    leader.handle(
        new ControlEvent.FromServingVm(
            new ServingMessage.Sync(
                VM,
                new Incarnation(1),
                sequence,
                1,
                registryRevision,
                0,
                rolloutRevision,
                Map.of(),
                List.of())));
    group.run(SYNC_MS);
  }

  private void registerUpstream() {
    leader.actions().clear();
    group.call(
        leader, new OperatorRequest.Heartbeat(ForwardSamples.upstream("e1", TestPlans.ENGINES, 4)));
  }

  private boolean pushed(Class<? extends ServingReply> type) {
    return leader.actions().stream()
        .filter(ControlAction.SendToServingVm.class::isInstance)
        .map(action -> ((ControlAction.SendToServingVm) action).reply())
        .anyMatch(type::isInstance);
  }

  /**
   * The rollout update to a VM is lost; the VM must not learn of the target version's upstreams
   * before it.
   */
  @Test
  void registrationsWaitUntilVmHasTheRollouts() {
    registerUpstream();
    sync(0, 0);
    assertThat(pushed(ServingReply.RegistryUpdate.class)).isFalse();
    sync(0, 1);
    assertThat(pushed(ServingReply.RegistryUpdate.class)).isTrue();
  }

  @Test
  void lostRolloutUpdateIsResentWithTheRegistrations() {
    registerUpstream();
    group.run(RESEND_INTERVAL_MS);
    sync(0, 0);
    assertThat(pushed(ServingReply.RolloutUpdate.class)).isTrue();
    assertThat(pushed(ServingReply.RegistryUpdate.class)).isTrue();
  }
}
