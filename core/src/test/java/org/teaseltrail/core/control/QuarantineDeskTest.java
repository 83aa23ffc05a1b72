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

/** Decides on the leader what is held, from what VMs tell and from upstreams' heartbeats. */
class QuarantineDeskTest {

  private static final VmId ONE = new VmId("entry-1");
  private static final VmId TWO = new VmId("entry-2");
  private static final Fingerprint DEADLY = new Fingerprint(1, 1);
  private static final int BEAT_EVERY_MS = 1_200;
  private static final int MOMENTS_APART_MS = 50;

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private final List<Registration> engines = new ArrayList<>();
  private FakeControl leader;
  private long sequence;

  @BeforeEach
  void begin() {
    leader = group.leader();
    group.run(1_000);
    for (int i = 0; i < 3; i++) {
      engines.add(ForwardSamples.upstream("e" + i, TestPlans.ENGINES, 4));
    }
    beat();
  }

  private void beat() {
    engines.forEach(engine -> group.ask(leader, new OperatorRequest.Heartbeat(engine), 0));
  }

  private void lose(VmId vm, int... which) {
    loseAgo(0, vm, which);
  }

  private void loseAgo(long agoMs, VmId vm, int... which) {
    List<Loss> losses = new ArrayList<>();
    for (int engine : which) {
      long apartMs = (long) MOMENTS_APART_MS * engine;
      losses.add(
          new Loss(
              DEADLY,
              Optional.empty(),
              engines.get(engine).upstreamIncarnation(),
              agoMs + apartMs));
    }
    tell(new ServingMessage.Losses(vm, losses, List.of()));
  }

  private void tell(ServingMessage message) {
    leader.handle(new ControlEvent.FromServingVm(message));
  }

  /** Returns what a VM that begins anew is told is held. */
  private List<Fingerprint> held() {
    sequence++;
    leader.actions().clear();
    VmId vm = new VmId("entry-new-" + sequence);
    tell(
        new ServingMessage.Sync(vm, new Incarnation(1), sequence, 1, 1, 0, 0, Map.of(), List.of()));
    return leader.actions().stream()
        .filter(ControlAction.SendToServingVm.class::isInstance)
        .map(action -> ((ControlAction.SendToServingVm) action).reply())
        .filter(ServingReply.QuarantineUpdate.class::isInstance)
        .flatMap(update -> ((ServingReply.QuarantineUpdate) update).held().stream())
        .toList();
  }

  /** No VM alone saw three upstreams end. */
  @Test
  void lossesOfAllVmsCountTogether() {
    lose(ONE, 0, 1);
    assertThat(held()).isEmpty();
    lose(TWO, 2);
    assertThat(held()).containsExactly(DEADLY);
  }

  /** A data centre fails: three upstreams are lost in one moment under a content. */
  @Test
  void upstreamsLostAtOneMomentCountOnce() {
    List<Loss> losses =
        engines.stream()
            .map(engine -> new Loss(DEADLY, Optional.empty(), engine.upstreamIncarnation(), 0))
            .toList();
    tell(new ServingMessage.Losses(ONE, losses, List.of()));
    assertThat(held()).isEmpty();
  }

  /** Two VMs, or one VM twice, tell of the end of one upstream. */
  @Test
  void oneUpstreamCountsOnce() {
    lose(ONE, 0, 1);
    lose(TWO, 0, 1);
    lose(ONE, 0, 1);
    assertThat(held()).isEmpty();
  }

  /** Links break, and all three upstreams go on to live and to tell so. */
  @Test
  void heartbeatsTakeLossesBack() {
    lose(ONE, 0, 1, 2);
    assertThat(held()).containsExactly(DEADLY);
    for (int i = 0; i < 2; i++) {
      group.run(BEAT_EVERY_MS);
      beat();
    }
    assertThat(held()).isEmpty();
    loseAgo(2 * BEAT_EVERY_MS, ONE, 0, 1, 2);
    assertThat(held()).as("told again").isEmpty();
    lose(ONE, 0, 1, 2);
    assertThat(held()).as("lost later").containsExactly(DEADLY);
  }

  /** A heartbeat that was on its way when its upstream ended says nothing. */
  @Test
  void heartbeatOnItsWayTakesNothingBack() {
    lose(ONE, 0, 1, 2);
    group.run(500);
    beat();
    assertThat(held()).containsExactly(DEADLY);
  }

  /** Another life beats under the id of the one that ended. */
  @Test
  void heartbeatOfTheNextLifeTakesNothingBack() {
    lose(ONE, 0, 1, 2);
    group.run(2 * BEAT_EVERY_MS);
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
      group.ask(leader, new OperatorRequest.Heartbeat(next), 0);
    }
    assertThat(held()).containsExactly(DEADLY);
  }

  /** The leader that knew is gone with all VMs; the next one has only the log. */
  @Test
  void nextLeaderHoldsWhatHasStood() {
    lose(ONE, 0, 1, 2);
    group.run(5_000);
    leader.kill();
    leader = group.leader();
    assertThat(held()).containsExactly(DEADLY);
  }
}
