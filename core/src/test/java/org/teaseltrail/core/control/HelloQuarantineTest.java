package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.Loss;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/** Entry VMs whose requests the leader schedules share what ends engines by their hellos. */
class HelloQuarantineTest {

  private static final Fingerprint POISON = new Fingerprint(1, 1);
  private static final int LOSS_INTERVAL_MS = 100;
  private static final int TWO_HELLOS_MS = 1_100;

  private final FakeControlGroup group = new FakeControlGroup(3).start();
  private final RecordingEntryVm first = group.entry("e1");
  private final RecordingEntryVm second = group.entry("e2");
  private long sequence = 1_000;

  private static Loss lossOf(int engine) {
    return new Loss(
        POISON,
        Optional.of(new CustomerId("c")),
        new UpstreamIncarnation(new UpstreamId("u" + engine), 1),
        (long) engine * LOSS_INTERVAL_MS);
  }

  private void report(RecordingEntryVm vm, int... engines) {
    List<Loss> losses = new ArrayList<>();
    for (int engine : engines) {
      losses.add(lossOf(engine));
    }
    sequence++;
    vm.send(
        group.leader(),
        new EntryMessage.Hello(
            vm.vm(),
            new Incarnation(1),
            new DataCenterId("dc"),
            vm.applied(),
            sequence,
            Optional.of(new ServingMessage.Losses(vm.vm(), losses, List.of()))));
  }

  private List<Fingerprint> heldAt(RecordingEntryVm vm) {
    return vm.last(ControlMessage.Welcome.class)
        .flatMap(ControlMessage.Welcome::quarantine)
        .map(ServingReply.QuarantineUpdate::held)
        .orElse(List.of());
  }

  /** Guards against a request that ends three engines at each VM anew. */
  @Test
  void lossesOfSeveralVmsHoldRequestAtAll() {
    group.run(TWO_HELLOS_MS);
    report(first, 1, 2);
    group.run(TWO_HELLOS_MS);
    assertThat(heldAt(second)).isEmpty();
    report(second, 3);
    group.run(TWO_HELLOS_MS);
    assertThat(heldAt(first)).containsExactly(POISON);
    assertThat(heldAt(second)).containsExactly(POISON);
  }

  @Test
  void vmsGetNoListWhileNothingIsSuspect() {
    group.run(TWO_HELLOS_MS);
    assertThat(first.last(ControlMessage.Welcome.class).orElseThrow().quarantine()).isEmpty();
  }

  /** Guards against a decision that is lost with the leader or with its memory. */
  @Test
  void nextLeaderHoldsRequestToo() {
    group.run(TWO_HELLOS_MS);
    report(first, 1, 2, 3);
    group.run(5_000);
    group.leader().kill();
    group.run(6_000);
    group.leader();
    group.run(TWO_HELLOS_MS);
    assertThat(heldAt(second)).containsExactly(POISON);
  }
}
