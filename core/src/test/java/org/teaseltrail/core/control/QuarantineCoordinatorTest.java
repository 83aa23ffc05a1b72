package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Tests which requests the leader quarantines, from the reports of VMs and the heartbeats of
 * upstreams.
 */
class QuarantineCoordinatorTest {

  private static final VmId VM_1 = new VmId("entry-1");
  private static final VmId VM_2 = new VmId("entry-2");
  private static final Fingerprint POISON = new Fingerprint(1, 1);
  private static final int HEARTBEAT_INTERVAL_MS = 1_200;
  private static final int LOSS_INTERVAL_MS = 50;

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private final List<Registration> engines = new ArrayList<>();
  private FakeControlMember leader;
  private long sequence;

  @BeforeEach
  void setUp() {
    leader = group.leader();
    group.run(1_000);
    for (int i = 0; i < 3; i++) {
      engines.add(ForwardSamples.upstream("e" + i, TestPlans.ENGINES, 4));
    }
    sendHeartbeats();
  }

  private void sendHeartbeats() {
    engines.forEach(engine -> group.call(leader, new OperatorRequest.Heartbeat(engine), 0));
  }

  private void reportLosses(VmId vm, int... engineIndexes) {
    reportPastLosses(0, vm, engineIndexes);
  }

  private void reportPastLosses(long agoMs, VmId vm, int... engineIndexes) {
    List<Loss> losses = new ArrayList<>();
    for (int engine : engineIndexes) {
      losses.add(loss(POISON, engine, agoMs));
    }
    deliver(new ServingMessage.Losses(vm, losses, List.of()));
  }

  private Loss loss(Fingerprint request, int engine, long agoMs) {
    return new Loss(
        request,
        Optional.empty(),
        engines.get(engine).upstreamIncarnation(),
        agoMs + (long) LOSS_INTERVAL_MS * engine);
  }

  private void deliver(ServingMessage message) {
    leader.handle(new ControlEvent.FromServingVm(message));
  }

  /** Returns the quarantine list that a newly started VM receives. */
  private List<Fingerprint> held() {
    sequence++;
    leader.actions().clear();
    VmId vm = new VmId("entry-new-" + sequence);
    deliver(
        new ServingMessage.Sync(vm, new Incarnation(1), sequence, 1, 1, 0, 0, Map.of(), List.of()));
    return leader.actions().stream()
        .filter(ControlAction.SendToServingVm.class::isInstance)
        .map(action -> ((ControlAction.SendToServingVm) action).reply())
        .filter(ServingReply.QuarantineUpdate.class::isInstance)
        .flatMap(update -> ((ServingReply.QuarantineUpdate) update).held().stream())
        .toList();
  }

  /** No single VM observed the loss of three upstreams. */
  @Test
  void lossesOfAllVmsCountTogether() {
    reportLosses(VM_1, 0, 1);
    assertThat(held()).isEmpty();
    reportLosses(VM_2, 2);
    assertThat(held()).containsExactly(POISON);
  }

  /**
   * A data centre fails: three upstreams are lost simultaneously while they run the same content.
   */
  @Test
  void simultaneousLossesCountOnce() {
    List<Loss> losses =
        engines.stream()
            .map(engine -> new Loss(POISON, Optional.empty(), engine.upstreamIncarnation(), 0))
            .toList();
    deliver(new ServingMessage.Losses(VM_1, losses, List.of()));
    assertThat(held()).isEmpty();
  }

  /** Two VMs, or one VM twice, report the loss of the same upstream. */
  @Test
  void oneUpstreamCountsOnce() {
    reportLosses(VM_1, 0, 1);
    reportLosses(VM_2, 0, 1);
    reportLosses(VM_1, 0, 1);
    assertThat(held()).isEmpty();
  }

  /** Connections break, but all three upstreams keep running and sending heartbeats. */
  @Test
  void heartbeatsRevokeLosses() {
    reportLosses(VM_1, 0, 1, 2);
    assertThat(held()).containsExactly(POISON);
    for (int i = 0; i < 2; i++) {
      group.run(HEARTBEAT_INTERVAL_MS);
      sendHeartbeats();
    }
    assertThat(held()).isEmpty();
    reportPastLosses(2 * HEARTBEAT_INTERVAL_MS, VM_1, 0, 1, 2);
    assertThat(held()).as("same losses reported again").isEmpty();
    reportLosses(VM_1, 0, 1, 2);
    assertThat(held()).as("new losses reported").containsExactly(POISON);
  }

  /**
   * A heartbeat that was in flight when its upstream ended does not show that the upstream is
   * alive.
   */
  @Test
  void heartbeatInFlightRevokesNoLoss() {
    reportLosses(VM_1, 0, 1, 2);
    group.run(500);
    sendHeartbeats();
    assertThat(held()).containsExactly(POISON);
  }

  /** Another incarnation sends heartbeats under the id of the one that ended. */
  @Test
  void heartbeatOfNextIncarnationRevokesNoLoss() {
    reportLosses(VM_1, 0, 1, 2);
    group.run(2 * HEARTBEAT_INTERVAL_MS);
    for (Registration ended : engines) {
      Registration next =
          new Registration(
              ended.id(),
              ended.bornMs() + 1,
              ended.service(),
              ended.address(),
              ended.dataCenter(),
              ended.slots(),
              ended.phase(),
              1,
              ended.version(),
              0);
      group.call(leader, new OperatorRequest.Heartbeat(next), 0);
    }
    assertThat(held()).containsExactly(POISON);
  }

  /** Guards against callers who wait for a decision of which the log tells nothing. */
  @Test
  void undecidedRequestsAreLogged() {
    leader.actions().clear();
    Fingerprint other = new Fingerprint(2, 2);
    reportLosses(VM_1, 0, 1);
    for (int engine = 0; engine < 2; engine++) {
      deliver(new ServingMessage.Losses(VM_2, List.of(loss(other, engine, 0)), List.of()));
    }
    deliver(
        new ServingMessage.Losses(VM_1, List.of(loss(POISON, 2, 0), loss(other, 2, 0)), List.of()));
    assertThat(leader.actions())
        .contains(
            new ControlAction.RequestUndecided(POISON, Optional.empty(), 3),
            new ControlAction.RequestUndecided(other, Optional.empty(), 3));
    deliver(new ServingMessage.Losses(VM_1, List.of(), List.of(POISON, other)));
    assertThat(leader.actions())
        .contains(
            new ControlAction.RequestReleased(POISON, Optional.empty(), 0),
            new ControlAction.RequestReleased(other, Optional.empty(), 0));
  }

  /** The leader and all VMs that knew of the losses are gone; the next leader has only the log. */
  @Test
  void nextLeaderRestoresQuarantine() {
    reportLosses(VM_1, 0, 1, 2);
    group.run(5_000);
    leader.kill();
    leader = group.leader();
    assertThat(held()).containsExactly(POISON);
  }
}
