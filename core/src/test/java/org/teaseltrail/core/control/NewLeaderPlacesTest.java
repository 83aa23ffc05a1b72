package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamSlots;
import org.teaseltrail.core.serving.Urgency;

/** Tells and hands out places only once a new leader knows who holds them. */
class NewLeaderPlacesTest {

  private static final VmId ONE = new VmId("entry-1");
  private static final UpstreamId ENGINE = new UpstreamId("e1");
  private static final int SETTLED_MS = 300;

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private FakeControl leader;
  private long sequence;

  @BeforeEach
  void changeLeader() {
    FakeControl first = group.leader();
    group.run(500);
    group.ask(first, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    group.ask(
        first,
        new OperatorRequest.Heartbeat(
            ForwardSamples.upstream(ENGINE.value(), TestPlans.ENGINES, 4)));
    first.kill();
    leader = group.leader();
  }

  private UpstreamSlots toldPlaces() {
    sequence++;
    leader.handle(
        new ControlEvent.FromServingVm(
            new ServingMessage.Sync(
                ONE, new Incarnation(1), sequence, 1, 1, 0, 0, Map.of(), List.of())));
    return replies().stream()
        .filter(ServingReply.Confirmed.class::isInstance)
        .map(ServingReply.Confirmed.class::cast)
        .filter(reply -> reply.sequence() == sequence)
        .findFirst()
        .orElseThrow()
        .places();
  }

  private List<ServingReply> replies() {
    return leader.actions().stream()
        .filter(ControlAction.SendToServingVm.class::isInstance)
        .map(action -> ((ControlAction.SendToServingVm) action).reply())
        .toList();
  }

  private long grantsAfterLine() {
    QueueState line =
        new QueueState(
            TestPlans.ENGINES,
            List.of(new QueueState.WaitTimes(new Urgency(1, false, 0), List.of(5L))),
            List.of(),
            List.of());
    leader.handle(
        new ControlEvent.FromServingVm(
            new ServingMessage.Lines(ONE, 0, Map.of(), Map.of(), List.of(), List.of(line))));
    return replies().stream().filter(ServingReply.SlotGrant.class::isInstance).count();
  }

  /**
   * The leader is killed in a burst. The first VM to speak to the next one was told that nobody
   * else had anything at the engines, and all VMs filled places that were in use: first events came
   * after a second and more.
   */
  @Test
  void newLeaderTellsNothingOfPlacesBeforeAllVmsCanHaveTold() {
    assertThat(toldPlaces()).isEqualTo(UpstreamSlots.NONE);
    group.run(SETTLED_MS);
    assertThat(toldPlaces().ownParts()).containsExactly(4);
  }

  @Test
  void newLeaderHandsOutNoPlaceBeforeAllVmsCanHaveTold() {
    toldPlaces();
    assertThat(grantsAfterLine()).isZero();
    group.run(SETTLED_MS);
    assertThat(grantsAfterLine()).isEqualTo(1);
  }
}
