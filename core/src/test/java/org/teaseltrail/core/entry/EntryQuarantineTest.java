package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.C1;
import static org.teaseltrail.core.entry.EntryFixture.U1;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Tests what an entry VM does with quarantined requests that its leader would schedule. */
class EntryQuarantineTest {

  private static final int RETRY_AFTER_MS = 60_000;

  private final EntryFixture vm = new EntryFixture();
  private long revision;

  @BeforeEach
  void join() {
    vm.join(C1, 1, 5);
  }

  private static Fingerprint fingerprintOf(int rank) {
    CallContent content =
        new CallContent(new CustomerId("customer-" + rank), new RouteId("m"), "digest");
    return content.fingerprint();
  }

  private void welcome(List<Fingerprint> held, List<Fingerprint> undecided, boolean hasTrial) {
    revision++;
    vm.advance(500);
    vm.receive(
        C1,
        new ControlMessage.Welcome(
            C1,
            new FencingNumber(1),
            new Revision(5),
            3_000,
            false,
            vm.lastHello(C1),
            Optional.of(
                new ServingReply.QuarantineUpdate(
                    new FencingNumber(1), revision, true, held, List.of(), Optional.of(undecided))),
            hasTrial
                ? Optional.of(new ServingReply.Trial(new FencingNumber(1), held.get(0), 60_000))
                : Optional.empty()));
  }

  private void loseThrice() {
    for (int i = 0; i < 3; i++) {
      RequestId id = vm.arrive(1);
      vm.dispatch(id);
      vm.broken(id);
      vm.advance(1_000);
      vm.broken(id);
      vm.advance(1_000);
      vm.welcome(C1, 1, 5);
    }
  }

  @Test
  void heldRequestIsRefusedAndOthersAreOffered() {
    welcome(List.of(fingerprintOf(1)), List.of(), false);
    assertThat(vm.outcome(vm.arrive(1)))
        .contains(new Outcome.NotRun(NotRunReason.QUARANTINED, RETRY_AFTER_MS));
    assertThat(vm.outcome(vm.arrive(2))).isEmpty();
  }

  /** Guards against a grant that was on its way when the request was quarantined. */
  @Test
  void waitingRequestIsWithdrawnAndItsGrantNotUsed() {
    RequestId id = vm.arrive(1);
    welcome(List.of(fingerprintOf(1)), List.of(), false);
    assertThat(vm.outcome(id))
        .contains(new Outcome.NotRun(NotRunReason.QUARANTINED, RETRY_AFTER_MS));
    assertThat(vm.sentMessages(EntryMessage.Withdraw.class)).hasSize(1);
    vm.grant(C1, id, 1);
    assertThat(vm.transmitCount(id)).isZero();
  }

  @Test
  void undecidedRequestMayComeBackSoon() {
    welcome(List.of(fingerprintOf(1)), List.of(fingerprintOf(1)), false);
    assertThat(vm.outcome(vm.arrive(1)))
        .contains(new Outcome.NotRun(NotRunReason.QUARANTINED, 2_000));
  }

  @Test
  void trialLetsOneCopyPass() {
    welcome(List.of(fingerprintOf(1)), List.of(), true);
    RequestId trial = vm.arrive(1);
    vm.dispatch(trial);
    assertThat(vm.transmitCount(trial)).isEqualTo(1);
    assertThat(vm.outcome(vm.arrive(1))).isPresent();
  }

  @Test
  void lossesAreReportedWithHellos() {
    loseThrice();
    vm.arrive(2);
    assertThat(vm.sentMessages(EntryMessage.Hello.class))
        .last()
        .extracting(hello -> hello.losses().orElseThrow().losses().get(0).request())
        .isEqualTo(fingerprintOf(1));
  }

  /** Guards against refusing a request because its engine's connections broke. */
  @Test
  void announcementOfTheUpstreamExcusesLosses() {
    loseThrice();
    vm.announce(UpstreamPhase.SERVING, 1);
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    assertThat(vm.transmitCount(id)).isEqualTo(1);
    assertThat(vm.actionsOfType(EntryAction.Connect.class))
        .allMatch(c -> c.target().upstream().equals(U1));
  }

  /** Guards against refusing what a VM sent while it reached no engine at all. */
  @Test
  void lossesWithoutAnyPathDontCount() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    for (int i = 0; i < 8; i++) {
      vm.broken(id);
      vm.advance(1_000);
      vm.welcome(C1, 1, 5);
    }
    assertThat(vm.outcome(id)).isPresent();
    assertThat(vm.sentMessages(EntryMessage.Hello.class))
        .allMatch(hello -> hello.losses().isEmpty());
  }
}
