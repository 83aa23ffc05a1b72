package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * Under load an operator's order waits 0.8 s for its answer, and as often has none: sixty entry VMs
 * tell of their lines faster than the leader takes it in, the order waits behind all of it, the
 * members' answers to it wait once more, and the leader's lease runs out meanwhile.
 */
class EventQueueTest {

  private static final int VMS = 60;
  private static final int TOLD_EACH = 20;

  private final EventQueue queue = new EventQueue();

  private static ControlEvent sync(int vm, long sequence) {
    return new ControlEvent.FromServingVm(
        new ServingMessage.Sync(
            new VmId("entry-" + vm),
            new Incarnation(1),
            sequence,
            1,
            1,
            0,
            0,
            Map.of(),
            List.of()));
  }

  private static ControlEvent lines(int vm, long grantsSeen) {
    return new ControlEvent.FromServingVm(
        new ServingMessage.Lines(
            new VmId("entry-" + vm), grantsSeen, Map.of(), Map.of(), List.of(), List.of()));
  }

  private List<ControlEvent> takeAll() throws InterruptedException {
    List<ControlEvent> taken = new ArrayList<>();
    for (ControlEvent next = queue.poll(0); next != null; next = queue.poll(0)) {
      taken.add(next);
    }
    return taken;
  }

  @Test
  void operatorsAndMembersNeverWaitBehindEntryVms() throws InterruptedException {
    for (int told = 0; told < TOLD_EACH; told++) {
      for (int vm = 0; vm < VMS; vm++) {
        queue.add(lines(vm, told));
      }
    }
    ControlEvent order = new ControlEvent.OperatorCall(1, new OperatorRequest.ReadPlan());
    ControlEvent synced = new ControlEvent.Persisted(1);
    queue.add(order);
    queue.add(synced);
    assertThat(queue.poll(0)).isEqualTo(order);
    assertThat(queue.poll(0)).isEqualTo(synced);
  }

  @Test
  void noMoreThanTheNewestOfEachVmWaits() throws InterruptedException {
    for (int told = 0; told < TOLD_EACH; told++) {
      for (int vm = 0; vm < VMS; vm++) {
        queue.add(sync(vm, told));
        queue.add(lines(vm, told));
      }
    }
    assertThat(queue.size()).isEqualTo(2 * VMS);
    assertThat(takeAll())
        .contains(sync(7, TOLD_EACH - 1), lines(7, TOLD_EACH - 1))
        .doesNotContain(sync(7, 0), lines(7, 0));
  }

  @Test
  void whatOneVmTellsKeepsItsOrder() throws InterruptedException {
    queue.add(sync(1, 1));
    queue.add(lines(1, 1));
    queue.add(sync(1, 2));
    assertThat(takeAll()).containsExactly(lines(1, 1), sync(1, 2));
  }

  @Test
  void vmThatTellsOftenIsNotPassedOver() throws InterruptedException {
    queue.add(lines(1, 1));
    queue.add(lines(2, 1));
    queue.add(lines(1, 2));
    assertThat(queue.poll(0)).isEqualTo(lines(1, 2));
    assertThat(queue.poll(0)).isEqualTo(lines(2, 1));
  }

  @Test
  void waitsNoLongerThanAsked() throws InterruptedException {
    assertThat(queue.poll(1)).isNull();
  }
}
