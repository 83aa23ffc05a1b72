package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * An operator installs a valid plan without any failure and receives no reply within the one second
 * that it waits, so it sends the plan again and again. This happens if the leader, after the plan
 * is committed within milliseconds, pushes it to all entry VMs one after the other before it
 * replies.
 */
class InstallPlanReplyTest {

  private static final int VMS = 60;

  private final FakeControlGroup group = new FakeControlGroup(3).start();

  @Test
  void operatorReceivesReplyBeforePlanIsPushed() {
    FakeControlMember leader = group.leader();
    group.run(500);
    for (int i = 0; i < VMS; i++) {
      leader.handle(
          new ControlEvent.FromServingVm(
              new ServingMessage.Sync(
                  new VmId("entry-" + i),
                  new Incarnation(1),
                  1,
                  -1,
                  0,
                  0,
                  0,
                  Map.of(),
                  List.of())));
    }
    leader.actions().clear();
    group.call(leader, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    List<ControlAction> actions = leader.actions();
    int replyIndex = index(actions, ControlAction.Reply.class);
    int pushIndex =
        actions.indexOf(
            actions.stream().filter(InstallPlanReplyTest::pushesPlan).findFirst().orElseThrow());
    assertThat(replyIndex).isLessThan(pushIndex);
  }

  private static int index(List<ControlAction> actions, Class<? extends ControlAction> type) {
    return actions.indexOf(actions.stream().filter(type::isInstance).findFirst().orElseThrow());
  }

  private static boolean pushesPlan(ControlAction action) {
    return action instanceof ControlAction.SendToServingVm send
        && send.reply() instanceof ServingReply.PlanUpdate;
  }
}
