package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.decision.DecisionKind;
import org.teaseltrail.core.id.FencingNumber;

/** Tests which engines receive orders to load which model, when, and from which leader. */
class PlacementTest {

  private final FakeControlGroup group = new FakeControlGroup(3).start();

  private RecordingEntryVm fleetWithOneCopy(FakeControlMember leader) {
    group.change(leader, "fleet", 0, Samples.fleet(3, "u1", "u2", "u3", "u4"));
    RecordingEntryVm entry = group.entry("e1");
    group.run(1_000);
    announce(entry, leader);
    return entry;
  }

  private void announce(RecordingEntryVm entry, FakeControlMember leader) {
    entry.send(leader, Samples.seen("u1", "regina-a", 1));
    entry.send(leader, Samples.seen("u2", "regina-a", 1, List.of()));
    entry.send(leader, Samples.seen("u3", "regina-b", 1, List.of()));
    entry.send(leader, Samples.seen("u4", "winnipeg", 1, List.of()));
  }

  private static List<EngineOrder> orders(FakeControlMember member) {
    return member.actions().stream()
        .filter(ControlAction.SendOrder.class::isInstance)
        .map(action -> ((ControlAction.SendOrder) action).order())
        .toList();
  }

  /**
   * Models are loaded one after the other, at the rate that the weight store allows, in data
   * centres without a copy.
   */
  @Test
  void missingCopiesAreLoadedOneByOneOverDataCentres() {
    FakeControlMember leader = group.leader();
    fleetWithOneCopy(leader);
    group.run(4_000);
    assertThat(orders(leader)).hasSize(1);
    group.run(30_000);
    assertThat(orders(leader))
        .extracting(order -> order.upstream().value())
        .containsExactly("u3", "u4");
    assertThat(leader.actions())
        .filteredOn(ControlAction.LogDecision.class::isInstance)
        .anyMatch(
            action -> ((ControlAction.LogDecision) action).decision().kind() == DecisionKind.PLACE);
  }

  /**
   * The leader is paused when an order is due and another member takes over. Engines that ignore
   * fencing numbers would load twice; the resumed leader must send no order, and the new one must
   * use a greater fencing number.
   */
  @Test
  void resumedLeaderSendsNoOrder() {
    FakeControlMember oldLeader = group.leader();
    final RecordingEntryVm entry = fleetWithOneCopy(oldLeader);
    group.run(1_000);
    oldLeader.pause();
    group.run(2_000);
    FakeControlMember next = group.leader();
    announce(entry, next);
    group.run(10_000);
    int before = orders(oldLeader).size();
    oldLeader.resume();
    group.run(5_000);
    assertThat(orders(oldLeader)).hasSize(before);
    assertThat(orders(next)).isNotEmpty();
    assertThat(orders(next)).allMatch(order -> order.fencing().compareTo(new FencingNumber(1)) > 0);
  }
}
