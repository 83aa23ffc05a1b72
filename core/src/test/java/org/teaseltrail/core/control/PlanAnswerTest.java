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
 * An operator sends a valid plan while nothing fails, and has no answer within the second that it
 * waits; it sends it again and again. The plan was committed within milliseconds, but the leader
 * brought it to all entry VMs first, one after the other, and answered then.
 */
class PlanAnswerTest {

  private static final int VMS = 60;

  private final FakeControlGroup group = new FakeControlGroup(3).start();

  @Test
  void operatorIsAnsweredBeforeThePlanIsBroughtToTheVms() {
    FakeControl leader = group.leader();
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
    group.ask(leader, new OperatorRequest.InstallPlan(new InstalledPlan(TestPlans.plan(1), "{}")));
    List<ControlAction> actions = leader.actions();
    int answered = index(actions, ControlAction.Reply.class);
    int pushed =
        actions.indexOf(
            actions.stream().filter(PlanAnswerTest::bringsPlan).findFirst().orElseThrow());
    assertThat(answered).isLessThan(pushed);
  }

  private static int index(List<ControlAction> actions, Class<? extends ControlAction> type) {
    return actions.indexOf(actions.stream().filter(type::isInstance).findFirst().orElseThrow());
  }

  private static boolean bringsPlan(ControlAction action) {
    return action instanceof ControlAction.SendToServingVm send
        && send.reply() instanceof ServingReply.PlanUpdate;
  }
}
