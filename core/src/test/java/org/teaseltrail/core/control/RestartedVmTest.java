package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/** What the leader sends to an entry VM that has started again. */
class RestartedVmTest {

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeControlMember leader;

  @BeforeEach
  void installPlanAndUpstream() {
    leader = group.leader();
    group.call(leader, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    group.call(
        leader, new OperatorRequest.Heartbeat(ForwardSamples.upstream("a1", TestPlans.ENGINES, 1)));
  }

  /** Guards against a VM with a session but without upstreams for a second after a quick start. */
  @Test
  void getsPlanAndUpstreamsThoughItsFormerProcessHasJustGotThem() {
    assertThat(pushedAfterSync(1)).containsExactly("PlanUpdate", "RegistryUpdate");
    assertThat(pushedAfterSync(2)).containsExactly("PlanUpdate", "RegistryUpdate");
  }

  /** Guards against the same updates with each sync while the first are on their way. */
  @Test
  void getsThemOnceThoughItSyncsAgain() {
    assertThat(pushedAfterSync(1)).hasSize(2);
    assertThat(pushedAfterSync(1)).isEmpty();
  }

  /** Guards against a VM whose updates are lost with a connection and that waits a second. */
  @Test
  void getsThemAgainWhenItsConnectionHasOpenedAgain() {
    assertThat(pushedAfterSync(1)).hasSize(2);
    leader.handle(new ControlEvent.ServingVmConnected(new VmId("entry-1")));
    assertThat(pushedAfterSync(1)).containsExactly("PlanUpdate", "RegistryUpdate");
  }

  private List<String> pushedAfterSync(long incarnation) {
    leader.actions().clear();
    leader.handle(
        new ControlEvent.FromServingVm(
            new ServingMessage.Sync(
                new VmId("entry-1"),
                new Incarnation(incarnation),
                1,
                -1,
                0,
                0,
                0,
                Map.of(),
                List.of())));
    return leader.actions().stream()
        .filter(ControlAction.SendToServingVm.class::isInstance)
        .map(action -> ((ControlAction.SendToServingVm) action).reply())
        .filter(
            reply ->
                reply instanceof ServingReply.PlanUpdate
                    || reply instanceof ServingReply.RegistryUpdate)
        .map(reply -> reply.getClass().getSimpleName())
        .toList();
  }
}
