package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.C1;
import static org.teaseltrail.core.entry.EntryFixture.C2;
import static org.teaseltrail.core.entry.EntryFixture.end;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Tests that requests are admitted only with a valid session and configuration, and that a shutdown
 * completes all running requests.
 */
class EntrySessionTest {

  private final EntryFixture vm = new EntryFixture();

  @BeforeEach
  void join() {
    vm.join(C1, 1, 5);
  }

  // A partitioned VM could serve a removed customer for as long as the partition lasts. It must
  // stop admitting requests when its session expires, while running requests continue.
  @Test
  void cutOffVmStopsAdmittingAfterThreeSeconds() {
    RequestId running = vm.arrive(1);
    vm.dispatch(running);
    vm.advance(2_999);
    RequestId before = vm.arrive(1);
    vm.advance(2);
    RequestId after = vm.arrive(1);

    assertThat(vm.outcome(before)).isEmpty();
    assertThat(vm.outcome(after)).contains(new Outcome.NotRun(NotRunReason.NOT_ADMITTING, 1_000));
    vm.frame(running, end(running, 0));
    assertThat(vm.outcome(running).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    assertThat(vm.node.isReady(vm.nowNs)).isFalse();
  }

  // The answer to an old hello is delayed. It must not extend the session beyond three seconds
  // after that hello was sent.
  @Test
  void lateWelcomeDoesNotLengthenSession() {
    vm.advance(500);
    final long early = vm.lastHello(C1);
    vm.advance(2_400);
    vm.receive(
        C1,
        new ControlMessage.Welcome(C1, new FencingNumber(1), new Revision(5), 3_000, false, early));
    vm.advance(601);

    assertThat(vm.outcome(vm.arrive(1))).isPresent();
  }

  // A changed configuration is accepted, but its update is delayed. A welcome that names the newer
  // revision must not extend the session until the update is applied.
  @Test
  void welcomeCountsOnlyWithItsConfigurationApplied() {
    vm.advance(2_500);
    vm.welcome(C1, 1, 6);
    vm.advance(501);
    assertThat(vm.node.isReady(vm.nowNs)).isFalse();

    vm.receive(C1, EntryFixture.update(1, 6));
    assertThat(vm.node.isReady(vm.nowNs)).isTrue();
  }

  // Updates arrive out of order, and one from an older leader arrives late. If an older revision
  // were applied, a removed customer could be served again.
  @Test
  void olderConfigurationIsNeverApplied() {
    vm.receive(C1, EntryFixture.update(1, 7));
    vm.receive(C1, EntryFixture.update(1, 6));
    assertThat(vm.node.status().revision()).isEqualTo(7);

    vm.join(C2, 2, 7);
    vm.receive(C1, EntryFixture.update(1, 9));
    assertThat(vm.node.status().revision()).isEqualTo(7);
  }

  @Test
  void admitsNothingBeforeConfigurationIsConfirmed() {
    EntryFixture fresh = new EntryFixture();
    fresh.send(new EntryEvent.ControlConnected(C1));
    fresh.welcome(C1, 1, 5);

    assertThat(fresh.outcome(fresh.arrive(1)))
        .contains(new Outcome.NotRun(NotRunReason.NOT_ADMITTING, 1_000));
  }

  // A new leader after the failure of the previous one knows nothing. The VM must report waiting
  // and running requests, unconfirmed ends and announced upstreams, and then that the reports are
  // complete.
  @Test
  void newLeaderIsToldOfEverything() {
    final RequestId waiting = vm.arrive(2);
    RequestId running = vm.arrive(1);
    RequestId done = vm.arrive(1);
    vm.dispatch(running);
    vm.dispatch(done);
    vm.frame(done, end(done, 0));
    vm.announce(UpstreamPhase.SERVING, 1);
    vm.actions.clear();
    vm.send(new EntryEvent.ControlDisconnected(C1));
    vm.join(C2, 2, 5);

    assertThat(vm.sentMessages(EntryMessage.UpstreamSeen.class)).hasSize(1);
    assertThat(vm.sentMessages(EntryMessage.Offer.class))
        .extracting(offer -> offer.ticket().request())
        .containsExactly(waiting);
    assertThat(vm.sentMessages(EntryMessage.StillRunning.class))
        .extracting(still -> still.ticket().request())
        .containsExactly(running);
    assertThat(vm.sentMessages(EntryMessage.Ended.class))
        .extracting(EntryMessage.Ended::request)
        .containsExactly(done);
    assertThat(vm.sentMessages(EntryMessage.ReportsComplete.class)).hasSize(1);
  }

  // If an end report were lost with its connection, the upstream's slot would stay occupied. The
  // report is sent again over the new connection, until a welcome to a later hello proves that it
  // was received.
  @Test
  void endIsReportedUntilWelcomed() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, end(id, 0));
    vm.send(new EntryEvent.ControlDisconnected(C1));
    vm.join(C1, 1, 5);
    assertThat(vm.sentMessages(EntryMessage.Ended.class)).hasSize(2);

    vm.advance(500);
    vm.welcome(C1, 1, 5);
    vm.send(new EntryEvent.ControlDisconnected(C1));
    vm.join(C1, 1, 5);
    assertThat(vm.sentMessages(EntryMessage.Ended.class)).hasSize(2);
  }

  // All schedulers of a region are unreachable. Every VM must reject its waiting requests at the
  // same times, lowest tier first, and state when callers may retry.
  @Test
  void givesUpFromLowestTierUpWithoutScheduler() {
    final RequestId top = vm.arrive(1);
    final RequestId middle = vm.arrive(2);
    final RequestId low = vm.arrive(3);
    vm.advance(9_999);
    assertThat(vm.actionsOfType(EntryAction.Conclude.class)).isEmpty();

    vm.advance(1);
    assertThat(vm.outcome(low)).contains(new Outcome.NotRun(NotRunReason.NO_SCHEDULER, 5_000));
    assertThat(vm.outcome(middle)).isEmpty();
    vm.advance(5_000);
    assertThat(vm.outcome(middle)).isPresent();
    assertThat(vm.outcome(top)).isEmpty();
    vm.advance(5_000);
    assertThat(vm.outcome(top)).isPresent();
  }

  @Test
  void passedDeadlineEndsWaitingRequestAtOnce() {
    RequestId id = vm.arrive(1, Optional.empty(), 200, Optional.empty());
    assertThat(vm.node.nextWakeupNs().orElseThrow()).isEqualTo(vm.nowNs + 200_000_000L);
    vm.advance(200);

    assertThat(vm.outcome(id)).contains(new Outcome.NotRun(NotRunReason.DEADLINE, 0));
    assertThat(vm.sentMessages(EntryMessage.Withdraw.class))
        .singleElement()
        .extracting(EntryMessage.Withdraw::reason)
        .isEqualTo(WithdrawReason.DEADLINE);
  }

  @Test
  void goneCallerFreesItsUpstreamUnlessItMayComeBack() {
    final RequestId waiting = vm.arrive(1);
    RequestId plain = vm.arrive(1);
    RequestId keyed = vm.arrive(1, Optional.of("k"), 0, Optional.empty());
    vm.dispatch(plain);
    vm.dispatch(keyed);
    vm.send(new EntryEvent.CallerGone(waiting));
    vm.send(new EntryEvent.CallerGone(plain));
    vm.send(new EntryEvent.CallerGone(keyed));

    assertThat(vm.outcome(waiting)).contains(new Outcome.NotRun(NotRunReason.CANCELLED, 0));
    assertThat(vm.actionsOfType(EntryAction.CancelUpstream.class))
        .singleElement()
        .extracting(EntryAction.CancelUpstream::request)
        .isEqualTo(plain);
    vm.frame(keyed, end(keyed, 0));
    assertThat(vm.outcome(keyed).orElseThrow()).isInstanceOf(Outcome.Completed.class);
  }

  @Test
  void refusalReachesCallerWithRetryAfter() {
    RequestId id = vm.arrive(3);
    vm.receive(C1, new ControlMessage.Refused(id, RefusalKind.SHED, 700));

    assertThat(vm.outcome(id)).contains(new Outcome.NotRun(NotRunReason.SHED, 700));
  }

  @Test
  void nonIdempotentCallNeedsKey() {
    CallTarget post = new CallTarget.ServiceCall(new ServiceId("s"), "POST");
    RequestId keyless = vm.arriveWith(call(post, Optional.empty()));
    RequestId with = vm.arriveWith(call(post, Optional.of(new IdempotencyKey("k"))));
    RequestId get =
        vm.arriveWith(
            call(new CallTarget.ServiceCall(new ServiceId("s"), "GET"), Optional.empty()));

    assertThat(vm.outcome(keyless)).contains(new Outcome.NotRun(NotRunReason.KEY_REQUIRED, 0));
    assertThat(vm.outcome(with)).isEmpty();
    assertThat(vm.outcome(get)).isEmpty();
    assertThat(vm.sentMessages(EntryMessage.Offer.class).get(0).ticket().claim().orElseThrow())
        .matches(claim -> claim.nonIdempotent());
  }

  private static CallerCall call(CallTarget target, Optional<IdempotencyKey> key) {
    return new CallerCall(Optional.of("key-1"), target, true, key, "digest", 0, Optional.empty());
  }

  // The load balancer continues to send requests until it detects that the VM is not ready. These
  // are served; then the listener closes, and the process exits only after the last answer is
  // complete.
  @Test
  void shutdownCutsNothing() {
    RequestId running = vm.arrive(1);
    vm.dispatch(running);
    vm.send(new EntryEvent.DrainRequested());
    assertThat(vm.node.isReady(vm.nowNs)).isFalse();
    RequestId late = vm.arrive(1);
    assertThat(vm.outcome(late)).isEmpty();
    vm.dispatch(late);
    vm.frame(late, end(late, 0));

    vm.advance(2_500);
    vm.welcome(C1, 1, 5);
    vm.advance(2_500);
    vm.welcome(C1, 1, 5);
    assertThat(vm.actionsOfType(EntryAction.CloseListener.class)).hasSize(1);
    assertThat(vm.actionsOfType(EntryAction.Exit.class)).isEmpty();
    vm.frame(running, end(running, 0));
    assertThat(vm.outcome(running).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    vm.advance(500);
    vm.welcome(C1, 1, 5);
    assertThat(vm.actionsOfType(EntryAction.Exit.class)).hasSize(1);
  }

  @Test
  void silentMemberIsReconnected() {
    vm.advance(EntryFixture.SILENCE_MS + 1);

    assertThat(vm.actionsOfType(EntryAction.ReconnectControl.class)).hasSize(1);
  }
}
