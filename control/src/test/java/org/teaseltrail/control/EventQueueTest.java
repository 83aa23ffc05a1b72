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
 * Guards against operators' orders that wait 0.8 s for a response, or as often receive none, under
 * load. This happens if sixty entry VMs report their queues faster than the leader processes the
 * reports: an order waits behind all of them, the members' replies to it wait again, and the
 * leader's lease expires meanwhile.
 */
class EventQueueTest {

  private static final int VMS = 60;
  private static final int MESSAGES_PER_VM = 20;

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

  private List<ControlEvent> pollAll() throws InterruptedException {
    List<ControlEvent> taken = new ArrayList<>();
    for (ControlEvent next = queue.poll(0); next != null; next = queue.poll(0)) {
      taken.add(next);
    }
    return taken;
  }

  /** Guards against streams whose origins are lost because a VM tells of further ones at once. */
  @Test
  void messagesThatReplaceNoneAreAllKept() throws InterruptedException {
    VmId vm = new VmId("entry-1");
    queue.add(new ControlEvent.FromServingVm(new ServingMessage.StreamsBegun(vm, List.of())));
    queue.add(new ControlEvent.FromServingVm(new ServingMessage.StreamsBegun(vm, List.of())));
    queue.add(new ControlEvent.FromServingVm(new ServingMessage.OriginQuery(vm, List.of())));
    queue.add(new ControlEvent.FromServingVm(new ServingMessage.OriginQuery(vm, List.of())));
    assertThat(pollAll()).hasSize(4);
  }

  @Test
  void operatorCallsAndDiskSyncsPrecedeEntryVmMessages() throws InterruptedException {
    for (int iteration = 0; iteration < MESSAGES_PER_VM; iteration++) {
      for (int vm = 0; vm < VMS; vm++) {
        queue.add(lines(vm, iteration));
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
  void queuesOnlyTheNewestMessageOfEachKindPerVm() throws InterruptedException {
    for (int iteration = 0; iteration < MESSAGES_PER_VM; iteration++) {
      for (int vm = 0; vm < VMS; vm++) {
        queue.add(sync(vm, iteration));
        queue.add(lines(vm, iteration));
      }
    }
    assertThat(queue.size()).isEqualTo(2 * VMS);
    assertThat(pollAll())
        .contains(sync(7, MESSAGES_PER_VM - 1), lines(7, MESSAGES_PER_VM - 1))
        .doesNotContain(sync(7, 0), lines(7, 0));
  }

  @Test
  void replacedMessageMovesBehindOtherKindsOfItsVm() throws InterruptedException {
    queue.add(sync(1, 1));
    queue.add(lines(1, 1));
    queue.add(sync(1, 2));
    assertThat(pollAll()).containsExactly(lines(1, 1), sync(1, 2));
  }

  @Test
  void replacedMessageKeepsTheQueuePositionOfItsVm() throws InterruptedException {
    queue.add(lines(1, 1));
    queue.add(lines(2, 1));
    queue.add(lines(1, 2));
    assertThat(queue.poll(0)).isEqualTo(lines(1, 2));
    assertThat(queue.poll(0)).isEqualTo(lines(2, 1));
  }

  @Test
  void pollReturnsNullAfterItsTimeout() throws InterruptedException {
    assertThat(queue.poll(1)).isNull();
  }
}
