package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.C1;
import static org.teaseltrail.core.entry.EntryFixture.C2;
import static org.teaseltrail.core.entry.EntryFixture.end;
import static org.teaseltrail.core.entry.EntryFixture.text;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Tests how an entry VM follows grants, and which grants it must decline. */
class EntryNodeTest {

  private final EntryFixture vm = new EntryFixture();

  @BeforeEach
  void join() {
    vm.join(C1, 1, 5);
  }

  private DeclineReason lastDecline() {
    var declined = vm.sentMessages(EntryMessage.Declined.class);
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
    assertThat(vm.sentMessages(EntryMessage.Offer.class)).hasSize(1);
    assertThat(vm.sentMessages(EntryMessage.FirstToken.class)).hasSize(1);
    assertThat(vm.sentMessages(EntryMessage.Ended.class))
        .singleElement()
        .extracting(EntryMessage.Ended::kind)
        .isEqualTo(EndKind.COMPLETED);
  }

  // The leader resends a grant because it assumes that the first copy was lost; the second copy
  // arrives once before and once after the dispatch. Only one connection may be opened, or the
  // request could run twice.
  @Test
  void doubledGrantDispatchesOnce() {
    RequestId id = vm.arrive(1);
    vm.grant(C1, id, 1);
    vm.grant(C1, id, 1);
    vm.connected(id);
    vm.grant(C1, id, 1);
    vm.frame(id, end(id, 0));
    vm.grant(C1, id, 1);

    assertThat(vm.actionsOfType(EntryAction.Connect.class)).hasSize(1);
    assertThat(vm.transmitCount(id)).isEqualTo(1);
    assertThat(vm.sentMessages(EntryMessage.Declined.class)).isEmpty();
  }

  // An upstream leaves while a VM is paused, and the VM offers its request again after it resumes.
  // The leader recalls the grant that the VM has missed or has not yet dispatched, and the VM
  // declines it; a request that was already dispatched continues.
  @Test
  void recalledGrantIsGivenBackUnlessItWasDispatched() {
    RequestId missed = vm.arrive(1);
    vm.recall(C1, missed, 1);
    assertThat(lastDecline()).isEqualTo(DeclineReason.LEAVING);
    vm.grant(C1, missed, 1);
    vm.recall(C1, missed, 1);
    vm.connected(missed);
    assertThat(vm.transmitCount(missed)).isZero();

    RequestId running = vm.arrive(1);
    vm.dispatch(running);
    vm.recall(C1, running, 1);
    assertThat(vm.transmitCount(running)).isEqualTo(1);
    assertThat(vm.outcome(running)).isEmpty();
  }

  // A leader is paused, another one takes over, and the paused one resumes and sends outdated
  // grants for upstreams that may have left. A VM that knows the newer leadership must decline
  // them.
  @Test
  void staleLeadersGrantIsDeclined() {
    RequestId id = vm.arrive(1);
    vm.join(C2, 2, 5);
    vm.grant(C1, id, 1);

    assertThat(vm.actionsOfType(EntryAction.Connect.class)).isEmpty();
    assertThat(lastDecline()).isEqualTo(DeclineReason.STALE_GRANT);
    vm.grant(C2, id, 2);
    assertThat(vm.actionsOfType(EntryAction.Connect.class)).hasSize(1);
  }

  // A network partition delays a grant until the session has expired, and no newer leader is known
  // yet. The VM must not follow the grant, and must report that it declined a grant of this leader.
  @Test
  void grantAfterSessionsEndIsDeclined() {
    RequestId id = vm.arrive(1);
    vm.advance(3_001);
    vm.grant(C1, id, 1);

    assertThat(vm.actionsOfType(EntryAction.Connect.class)).isEmpty();
    assertThat(lastDecline()).isEqualTo(DeclineReason.NO_SESSION);
  }

  // An offer is delayed by a network partition while its request runs and ends under another
  // leader. The next leader receives the offer late and grants it. If the VM didn't answer, the
  // upstream's slots would stay occupied although its engine is idle.
  @Test
  void grantForEndedRequestIsAnsweredByItsEnd() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, end(id, 0));
    vm.advance(500);
    vm.welcome(C1, 1, 5);
    vm.join(C2, 2, 5);
    vm.grant(C2, id, 2);

    assertThat(vm.transmitCount(id)).isEqualTo(1);
    assertThat(vm.sentMessages(EntryMessage.Ended.class)).hasSize(2);
    assertThat(vm.sentMessages(EntryMessage.Ended.class).get(1).kind())
        .isEqualTo(EndKind.COMPLETED);
  }

  @Test
  void grantForUnknownRequestIsDeclined() {
    vm.grant(C1, new RequestId("r-other"), 1);

    assertThat(lastDecline()).isEqualTo(DeclineReason.UNKNOWN_REQUEST);
  }

  // An upstream announces that it is leaving while the connection for a granted request is being
  // established. The grant must be declined before the first byte is sent, or the request would be
  // cut off when the upstream exits.
  @Test
  void upstreamLeavingBetweenGrantAndDispatchGetsNothing() {
    RequestId id = vm.arrive(1);
    vm.grant(C1, id, 1);
    vm.announce(UpstreamPhase.LEAVING, 2);
    vm.connected(id);

    assertThat(vm.transmitCount(id)).isZero();
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
    assertThat(vm.transmitCount(id)).isEqualTo(1);
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
}
