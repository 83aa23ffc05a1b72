package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.ADDRESS;
import static org.teaseltrail.core.entry.EntryFixture.C1;
import static org.teaseltrail.core.entry.EntryFixture.C2;
import static org.teaseltrail.core.entry.EntryFixture.U1;
import static org.teaseltrail.core.entry.EntryFixture.end;
import static org.teaseltrail.core.entry.EntryFixture.text;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.upstream.UpstreamPhase;

class EntryNodeTest {

  private final EntryFixture vm = new EntryFixture();

  @BeforeEach
  void join() {
    vm.join(C1, 1, 5);
  }

  private DeclineReason lastDecline() {
    var declined = vm.told(EntryMessage.Declined.class);
    return declined.get(declined.size() - 1).reason();
  }

  @Test
  void servesRequestWhole() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, text(id, 0));
    vm.frame(id, end(id, 1));

    assertThat(vm.delivered(id)).containsExactly("r-1/0");
    assertThat(vm.outcome(id)).contains(new Outcome.Completed(new Usage(2, 0, 1)));
    assertThat(vm.told(EntryMessage.Offer.class)).hasSize(1);
    assertThat(vm.told(EntryMessage.FirstToken.class)).hasSize(1);
    assertThat(vm.told(EntryMessage.Ended.class))
        .singleElement()
        .extracting(EntryMessage.Ended::kind)
        .isEqualTo(EndKind.COMPLETED);
  }

  // A quiz submission is doubled: the leader's grant comes twice, since its first copy was thought
  // lost, once before and once after the dispatch. Only one may lead to a connection.
  @Test
  void doubledGrantDispatchesOnce() {
    RequestId id = vm.arrive(1);
    vm.grant(C1, id, 1);
    vm.grant(C1, id, 1);
    vm.connected(id);
    vm.grant(C1, id, 1);
    vm.frame(id, end(id, 0));
    vm.grant(C1, id, 1);

    assertThat(vm.all(EntryAction.Connect.class)).hasSize(1);
    assertThat(vm.transmits(id)).isEqualTo(1);
    assertThat(vm.told(EntryMessage.Declined.class)).isEmpty();
  }

  // An engine leaves while a VM is frozen; the VM thaws and offers its request again. The grant
  // that
  // it missed, or has not followed to the first byte, is asked back and given back; a request that
  // was dispatched goes on.
  @Test
  void recalledGrantIsGivenBackUnlessItWasDispatched() {
    RequestId missed = vm.arrive(1);
    vm.recall(C1, missed, 1);
    assertThat(lastDecline()).isEqualTo(DeclineReason.LEAVING);
    vm.grant(C1, missed, 1);
    vm.recall(C1, missed, 1);
    vm.connected(missed);
    assertThat(vm.transmits(missed)).isZero();

    RequestId running = vm.arrive(1);
    vm.dispatch(running);
    vm.recall(C1, running, 1);
    assertThat(vm.transmits(running)).isEqualTo(1);
    assertThat(vm.outcome(running)).isEmpty();
  }

  // A leader freezes, another one takes over, and the frozen one thaws and sends the grants it had
  // ready, for upstreams that may have left since. The VM has seen the newer leadership.
  @Test
  void staleLeadersGrantIsDeclined() {
    RequestId id = vm.arrive(1);
    vm.join(C2, 2, 5);
    vm.grant(C1, id, 1);

    assertThat(vm.all(EntryAction.Connect.class)).isEmpty();
    assertThat(lastDecline()).isEqualTo(DeclineReason.STALE_GRANT);
    vm.grant(C2, id, 2);
    assertThat(vm.all(EntryAction.Connect.class)).hasSize(1);
  }

  // A grant lies in a cut link for a minute and arrives when the link heals, before any newer
  // leader was heard. The session has run out meanwhile, so the VM may not follow the grant; the
  // leader must hear that it is this leader's grant that was given back.
  @Test
  void grantAfterSessionsEndIsDeclined() {
    RequestId id = vm.arrive(1);
    vm.pass(3_001);
    vm.grant(C1, id, 1);

    assertThat(vm.all(EntryAction.Connect.class)).isEmpty();
    assertThat(lastDecline()).isEqualTo(DeclineReason.NO_SESSION);
  }

  // A pool stands still although its engines are idle. Offers lay in a cut link while their
  // requests
  // ran and ended under another leader; the next leader read them late and granted them, and the
  // VM,
  // which had nothing to dispatch, said nothing.
  @Test
  void grantForEndedRequestIsAnsweredByItsEnd() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, end(id, 0));
    vm.pass(500);
    vm.welcome(C1, 1, 5);
    vm.join(C2, 2, 5);
    vm.grant(C2, id, 2);

    assertThat(vm.transmits(id)).isEqualTo(1);
    assertThat(vm.told(EntryMessage.Ended.class)).hasSize(2);
    assertThat(vm.told(EntryMessage.Ended.class).get(1).kind()).isEqualTo(EndKind.COMPLETED);
  }

  @Test
  void grantForUnknownRequestIsDeclined() {
    vm.grant(C1, new RequestId("r-other"), 1);

    assertThat(lastDecline()).isEqualTo(DeclineReason.UNKNOWN_REQUEST);
  }

  // An upstream says that it leaves while the connection for a granted request is being made. The
  // request would be cut off when the upstream exits; it is given back before its first byte.
  @Test
  void upstreamLeavingBetweenGrantAndDispatchGetsNothing() {
    RequestId id = vm.arrive(1);
    vm.grant(C1, id, 1);
    vm.announce(UpstreamPhase.LEAVING, 2);
    vm.connected(id);

    assertThat(vm.transmits(id)).isZero();
    assertThat(lastDecline()).isEqualTo(DeclineReason.LEAVING);
    assertThat(vm.outcome(id)).isEmpty();
    vm.grant(C1, id, 1);
    assertThat(lastDecline()).isEqualTo(DeclineReason.LEAVING);
  }

  @Test
  void failedConnectIsGrantedAgain() {
    RequestId id = vm.arrive(1);
    vm.grant(C1, id, 1);
    vm.send(new EntryEvent.UpstreamConnectFailed(id, vm.attempt(id)));

    assertThat(lastDecline()).isEqualTo(DeclineReason.CONNECT_FAILED);
    vm.dispatch(id);
    assertThat(vm.transmits(id)).isEqualTo(1);
  }

  @Test
  void explicitRefusalOfUpstreamIsNotRun() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.send(new EntryEvent.UpstreamRefused(id, vm.attempt(id)));

    assertThat(vm.outcome(id))
        .contains(new Outcome.NotRun(NotRunReason.REFUSED_BY_UPSTREAM, 1_000));
    assertThat(lastDecline()).isEqualTo(DeclineReason.REFUSED_BY_UPSTREAM);
  }

  // A long report stops in the middle: its connection breaks. The rest is asked of the same
  // upstream by number, the doubled frame is dropped, and the request isn't sent again.
  @Test
  void brokenConnectionIsResumed() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, text(id, 0));
    vm.broken(id);
    vm.pass(50);

    assertThat(vm.all(EntryAction.Resume.class))
        .singleElement()
        .extracting(EntryAction.Resume::fromSequence)
        .isEqualTo(1L);
    vm.frame(id, text(id, 0));
    vm.frame(id, text(id, 1));
    vm.frame(id, end(id, 2));
    assertThat(vm.delivered(id)).containsExactly("r-1/0", "r-1/1");
    assertThat(vm.outcome(id).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    assertThat(vm.transmits(id)).isEqualTo(1);
  }

  // The end of a connection that was given up is heard late, after the stream was resumed over a
  // new one. It must not count against the new connection.
  @Test
  void lateEventOfOldConnectionIsIgnored() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    final int old = vm.attempt(id);
    vm.broken(id);
    vm.pass(50);
    vm.send(new EntryEvent.StreamBroken(id, old));
    vm.pass(1_000);

    assertThat(vm.all(EntryAction.Resume.class)).hasSize(1);
  }

  // A stream ends without its end mark, again and again. The caller must not take the short answer
  // for a whole one: after bounded tries it is told that the request may have run.
  @Test
  void missingEndMarkIsNeverCompleted() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, text(id, 0));
    for (int tries = 0; vm.outcome(id).isEmpty() && tries < 20; tries++) {
      vm.broken(id);
      vm.pass(1_000);
      vm.welcome(C1, 1, 5);
    }

    assertThat(vm.all(EntryAction.Resume.class)).hasSize(5);
    assertThat(vm.outcome(id)).contains(new Outcome.MayHaveRun(FailureReason.STREAM_BROKEN));
    assertThat(vm.told(EntryMessage.Ended.class)).hasSize(1);
  }

  // A caller reads another's words: an engine mixes two streams up. The foreign frame is dropped,
  // the connection given up, and the rest asked for anew.
  @Test
  void frameOfAnotherRequestIsNotDelivered() {
    RequestId id = vm.arrive(1);
    RequestId other = vm.arrive(2);
    vm.dispatch(id);
    vm.dispatch(other);
    vm.frame(id, text(other, 0));

    assertThat(vm.delivered(id)).isEmpty();
    vm.pass(50);
    assertThat(vm.all(EntryAction.Resume.class)).hasSize(1);
  }

  // An entry VM dies under a long report. The caller comes back over this VM with the key and the
  // last frame it has; the holder's stream is taken over from there, and nothing runs twice.
  @Test
  void keyHoldersStreamIsAdopted() {
    RequestId id = vm.arrive(1, Optional.of("k"), 0, Optional.of(4L));
    RequestId holder = new RequestId("holder");
    vm.receive(
        C1,
        new ControlMessage.ClaimExists(
            id, holder, ClaimState.RUNNING, Optional.of(U1), Optional.of(ADDRESS)));

    EntryAction.Resume resume = vm.all(EntryAction.Resume.class).get(0);
    assertThat(resume.stream()).isEqualTo(holder);
    assertThat(resume.fromSequence()).isEqualTo(5);
    vm.frame(id, text(holder, 5));
    vm.frame(id, end(holder, 6));
    assertThat(vm.delivered(id)).containsExactly("holder/5");
    assertThat(vm.transmits(id)).isZero();
    assertThat(vm.told(EntryMessage.Ended.class))
        .singleElement()
        .extracting(EntryMessage.Ended::request)
        .isEqualTo(holder);
  }

  @Test
  void keyHeldByWaitingRequestIsTold() {
    RequestId id = vm.arrive(1, Optional.of("k"), 0, Optional.empty());
    RequestId holder = new RequestId("holder");
    vm.receive(
        C1,
        new ControlMessage.ClaimExists(
            id, holder, ClaimState.MAY_HAVE_RUN, Optional.empty(), Optional.empty()));

    assertThat(vm.outcome(id)).contains(new Outcome.HeldByEarlier(holder, ClaimState.MAY_HAVE_RUN));
  }

  // A VM is cut off and would serve a removed customer for as long as the cut lasts. It stops
  // admitting when its session ends, and what runs there goes on.
  @Test
  void cutOffVmStopsAdmittingAfterThreeSeconds() {
    RequestId running = vm.arrive(1);
    vm.dispatch(running);
    vm.pass(2_999);
    RequestId before = vm.arrive(1);
    vm.pass(2);
    RequestId after = vm.arrive(1);

    assertThat(vm.outcome(before)).isEmpty();
    assertThat(vm.outcome(after)).contains(new Outcome.NotRun(NotRunReason.NOT_ADMITTING, 1_000));
    vm.frame(running, end(running, 0));
    assertThat(vm.outcome(running).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    assertThat(vm.node.isReady(vm.nowNs)).isFalse();
  }

  // An answer to an old hello is held up on the way. It must not lengthen the session beyond three
  // seconds from that hello's sending.
  @Test
  void lateWelcomeDoesNotLengthenSession() {
    vm.pass(500);
    final long early = vm.lastHello(C1);
    vm.pass(2_400);
    vm.receive(
        C1,
        new ControlMessage.Welcome(C1, new FencingNumber(1), new Revision(5), 3_000, false, early));
    vm.pass(601);

    assertThat(vm.outcome(vm.arrive(1))).isPresent();
  }

  // An operator's change is accepted, but its update is held up. A welcome that names the newer
  // revision doesn't lengthen the session until the update is applied.
  @Test
  void welcomeCountsOnlyWithItsConfigurationApplied() {
    vm.pass(2_500);
    vm.welcome(C1, 1, 6);
    vm.pass(501);
    assertThat(vm.node.isReady(vm.nowNs)).isFalse();

    vm.receive(C1, EntryFixture.update(1, 6));
    assertThat(vm.node.isReady(vm.nowNs)).isTrue();
  }

  // Updates arrive out of order, and one of an older leader late. A removed customer would be
  // served again if an older revision were applied.
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

  // The leader is killed. The new one knows nothing: it is told of what waits, what runs, what has
  // ended unheard and which upstreams announced themselves, and then that this was all.
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

    assertThat(vm.told(EntryMessage.UpstreamSeen.class)).hasSize(1);
    assertThat(vm.told(EntryMessage.Offer.class))
        .extracting(offer -> offer.ticket().request())
        .containsExactly(waiting);
    assertThat(vm.told(EntryMessage.StillRunning.class))
        .extracting(still -> still.ticket().request())
        .containsExactly(running);
    assertThat(vm.told(EntryMessage.Ended.class))
        .extracting(EntryMessage.Ended::request)
        .containsExactly(done);
    assertThat(vm.told(EntryMessage.ReportsComplete.class)).hasSize(1);
  }

  // A report of an end is lost with its connection: the upstream's window would stay taken. It is
  // sent again over the new connection, until a welcome to a later hello shows that it was read.
  @Test
  void endIsReportedUntilWelcomed() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, end(id, 0));
    vm.send(new EntryEvent.ControlDisconnected(C1));
    vm.join(C1, 1, 5);
    assertThat(vm.told(EntryMessage.Ended.class)).hasSize(2);

    vm.pass(500);
    vm.welcome(C1, 1, 5);
    vm.send(new EntryEvent.ControlDisconnected(C1));
    vm.join(C1, 1, 5);
    assertThat(vm.told(EntryMessage.Ended.class)).hasSize(2);
  }

  // All schedulers of a region are gone. Every VM gives its waiting requests up at the same times,
  // the lowest tier first, and tells the callers at once when to come back.
  @Test
  void givesUpFromLowestTierUpWithoutScheduler() {
    final RequestId top = vm.arrive(1);
    final RequestId middle = vm.arrive(2);
    final RequestId low = vm.arrive(3);
    vm.pass(9_999);
    assertThat(vm.all(EntryAction.Conclude.class)).isEmpty();

    vm.pass(1);
    assertThat(vm.outcome(low)).contains(new Outcome.NotRun(NotRunReason.NO_SCHEDULER, 5_000));
    assertThat(vm.outcome(middle)).isEmpty();
    vm.pass(5_000);
    assertThat(vm.outcome(middle)).isPresent();
    assertThat(vm.outcome(top)).isEmpty();
    vm.pass(5_000);
    assertThat(vm.outcome(top)).isPresent();
  }

  @Test
  void passedDeadlineEndsWaitingRequestAtOnce() {
    RequestId id = vm.arrive(1, Optional.empty(), 200, Optional.empty());
    assertThat(vm.node.nextWakeupNs().orElseThrow()).isEqualTo(vm.nowNs + 200_000_000L);
    vm.pass(200);

    assertThat(vm.outcome(id)).contains(new Outcome.NotRun(NotRunReason.DEADLINE, 0));
    assertThat(vm.told(EntryMessage.Withdraw.class))
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
    assertThat(vm.all(EntryAction.CancelUpstream.class))
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
    RequestId without = vm.arriveWith(call(post, Optional.empty()));
    RequestId with = vm.arriveWith(call(post, Optional.of(new IdempotencyKey("k"))));
    RequestId get =
        vm.arriveWith(
            call(new CallTarget.ServiceCall(new ServiceId("s"), "GET"), Optional.empty()));

    assertThat(vm.outcome(without)).contains(new Outcome.NotRun(NotRunReason.KEY_REQUIRED, 0));
    assertThat(vm.outcome(with)).isEmpty();
    assertThat(vm.outcome(get)).isEmpty();
    assertThat(vm.told(EntryMessage.Offer.class).get(0).ticket().claim().orElseThrow())
        .matches(claim -> claim.nonIdempotent());
  }

  private static CallerCall call(CallTarget target, Optional<IdempotencyKey> key) {
    return new CallerCall(Optional.of("key-1"), target, true, key, "digest", 0, Optional.empty());
  }

  // The balancer still sends requests while it learns that the VM leaves. They are served; then the
  // listener closes, and the process ends only when the last answer is whole.
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

    vm.pass(2_500);
    vm.welcome(C1, 1, 5);
    vm.pass(2_500);
    vm.welcome(C1, 1, 5);
    assertThat(vm.all(EntryAction.CloseListener.class)).hasSize(1);
    assertThat(vm.all(EntryAction.Exit.class)).isEmpty();
    vm.frame(running, end(running, 0));
    assertThat(vm.outcome(running).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    vm.pass(500);
    vm.welcome(C1, 1, 5);
    assertThat(vm.all(EntryAction.Exit.class)).hasSize(1);
  }

  @Test
  void silentMemberIsReconnected() {
    vm.pass(EntryFixture.SILENCE_MS + 1);

    assertThat(vm.all(EntryAction.ReconnectControl.class)).hasSize(1);
  }
}
