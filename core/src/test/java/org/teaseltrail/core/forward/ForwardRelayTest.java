package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.upstream.SocketAddress;

/** Tests what one entry VM does with requests that it can't send to any upstream. */
class ForwardRelayTest extends ForwardNodeTestBase {

  private static final VmId OTHER = new VmId("entry-9");

  private List<ForwardAction.Relay> relaysAtLoss = List.of();

  @Override
  ForwardSettings settings() {
    return ForwardSamples.settings(
        new VmId("entry-1"),
        1,
        List.of(MEMBER),
        1,
        ContentionSettings.OFF,
        new RelaySettings(Optional.of(new SocketAddress("10.0.1.1", 7601)), Optional.empty()));
  }

  @BeforeEach
  void serve() {
    serveWith(
        TestPlans.plan(1),
        upstream("p1", TestPlans.PLAIN, 4),
        upstream("p2", TestPlans.PLAIN, 4),
        upstream("p3", TestPlans.PLAIN, 4));
    namePeers(2);
  }

  private void namePeers(int count) {
    List<PeerVm> peers =
        List.of(2, 3, 4, 5).subList(0, count).stream()
            .map(
                i ->
                    new PeerVm(
                        new VmId("entry-" + i),
                        new SocketAddress("10.0.1." + i, 7601),
                        Optional.empty()))
            .toList();
    node.onControlMessage(new ServingReply.Peers(TERM, 1, peers), nowNs);
  }

  private List<ForwardAction.Relay> relays() {
    return actions.stream()
        .filter(ForwardAction.Relay.class::isInstance)
        .map(ForwardAction.Relay.class::cast)
        .toList();
  }

  private void endRelay(long number, RelayOutcome outcome) {
    actions = node.onRelayEnded(number, outcome, nowNs);
  }

  /** Loses the paths: a request finds no connection, and no probe passes. */
  private void losePaths() {
    long number = arrive("/safe/x");
    end(number, AttemptOutcome.NOT_CONNECTED);
    for (String id : List.of("p1", "p2", "p3")) {
      actions = node.onProbeEnded(upstream(id, TestPlans.PLAIN, 4).id(), ProbeResult.FAILED, nowNs);
    }
    relaysAtLoss = relays();
    end(number, AttemptOutcome.ANSWERED);
    assertThat(node.servicesWithoutPath()).containsExactly(TestPlans.PLAIN);
  }

  @Test
  void requestThatFindsNoConnectionTwiceIsRelayed() {
    long number = arrive("/unsafe/x");
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(relays()).isEmpty();
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(relays()).hasSize(1);
    assertThat(relays().get(0).hop()).isEqualTo(new RelayHop(new VmId("entry-1"), 0, 0, false));
    endRelay(number, RelayOutcome.ANSWERED);
    assertThat(actions).contains(new ForwardAction.Deliver(number));
  }

  @Test
  void requestsAreRelayedOnArrivalWhilePathsAreLost() {
    losePaths();
    arrive("/unsafe/x");
    assertThat(relays()).hasSize(1);
    assertThat(dispatches()).isEmpty();
  }

  @Test
  void requestsGoToUpstreamsAgainOnceOneProbePasses() {
    losePaths();
    advanceMs(300);
    for (String id : List.of("p1", "p2", "p3")) {
      node.onProbeEnded(upstream(id, TestPlans.PLAIN, 4).id(), ProbeResult.CONNECTED, nowNs);
    }
    arrive("/unsafe/x");
    assertThat(relays()).isEmpty();
    assertThat(dispatches()).hasSize(1);
  }

  @Test
  void nextPeerIsTriedIfOneDeclinesOrIsGone() {
    namePeers(4);
    losePaths();
    long number = arrive("/unsafe/x");
    endRelay(number, RelayOutcome.DECLINED);
    assertThat(relays()).hasSize(1);
    endRelay(number, RelayOutcome.NOT_CONNECTED);
    assertThat(relays()).hasSize(1);
  }

  /** Guards against a stream that the next peer continues at another version. */
  @Test
  void nextPeerIsToldWhatBeganTheStream() {
    namePeers(4);
    losePaths();
    long number = arrive("/safe/x");
    assertThat(relays().get(0).hop().origin()).isEmpty();
    StreamOrigin origin = new StreamOrigin(TestPlans.PLAIN, Optional.of(new UpstreamVersion("v1")));
    node.onRelayOrigin(number, origin);
    endRelay(number, RelayOutcome.BROKEN);
    assertThat(relays()).hasSize(1);
    assertThat(relays().get(0).hop().origin()).contains(origin);
  }

  /** Guards against callers that get no answer because no peer has a path either. */
  @Test
  void requestIsServedHereIfAllPeersDecline() {
    losePaths();
    long number = arrive("/unsafe/x");
    endRelay(number, RelayOutcome.DECLINED);
    endRelay(number, RelayOutcome.DECLINED);
    assertThat(dispatchedRequests()).containsExactly(number);
    end(number, AttemptOutcome.NOT_CONNECTED);
    assertThat(relays()).isEmpty();
  }

  /** Guards against running a non-idempotent request twice after its peer died. */
  @Test
  void nonIdempotentRequestOfDeadPeerIsNotSentAgain() {
    losePaths();
    long number = arrive("/unsafe/x");
    endRelay(number, RelayOutcome.BROKEN);
    assertThat(relays()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  @Test
  void idempotentRequestOfDeadPeerGoesToAnother() {
    losePaths();
    long number = arrive("/safe/x");
    endRelay(number, RelayOutcome.BROKEN);
    assertThat(relays()).hasSize(1);
    assertThat(relays().get(0).hop().sends()).isEqualTo(1);
    assertThat(relays().get(0).hop().maybeRan()).isTrue();
  }

  /** Guards against passing on a peer's "not run" for a request that may have run here. */
  @Test
  void refusalOfPeerPromisesNothingIfRequestMayHaveRunBefore() {
    losePaths();
    long number = arrive("/safe/x");
    endRelay(number, RelayOutcome.BROKEN);
    endRelay(number, RelayOutcome.REFUSED);
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  @Test
  void callersCloseCancelsRelay() {
    losePaths();
    long number = arrive("/unsafe/x");
    actions = node.onCallerDisconnected(number, nowNs);
    assertThat(actions).contains(new ForwardAction.Cancel(number));
    endRelay(number, RelayOutcome.ANSWERED);
    assertThat(actions).noneMatch(ForwardAction.Deliver.class::isInstance);
  }

  /** Guards against a caller that waits for a peer which never answers. */
  @Test
  void silentPeerIsGivenUpAtTheDeadline() {
    losePaths();
    final long number = arrive("/unsafe/x");
    advanceMs(4_000);
    assertThat(refusals()).isEmpty();
    advanceMs(100);
    assertThat(actions).contains(new ForwardAction.Cancel(number));
    assertThat(refusals()).containsExactly(RefusalReason.TIMED_OUT);
  }

  /** Guards against requests that VMs without paths pass on to each other. */
  @Test
  void relayedRequestIsDeclinedWithoutPath() {
    losePaths();
    actions =
        node.onRelayedRequest(request(77, "/unsafe/x"), new RelayHop(OTHER, 10, 0, false), nowNs);
    assertThat(relays()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.NO_PATH);
    assertThat(RefusalReason.NO_PATH.relayOutcome()).isEqualTo(RelayOutcome.DECLINED);
  }

  @Test
  void relayedRequestIsServedLikeCallersOwn() {
    actions =
        node.onRelayedRequest(request(77, "/unsafe/x"), new RelayHop(OTHER, 500, 0, false), nowNs);
    assertThat(dispatchedRequests()).containsExactly(77L);
    ForwardAction.Dispatch dispatch =
        (ForwardAction.Dispatch)
            actions.stream().filter(ForwardAction.Dispatch.class::isInstance).findFirst().get();
    assertThat(dispatch.remainingMs()).isEqualTo(3_500);
    end(77, AttemptOutcome.ANSWERED);
    assertThat(actions).contains(new ForwardAction.Deliver(77));
  }

  /** Guards against calling a request "not run" here that may have run at its first VM. */
  @Test
  void relayedRequestThatMayHaveRunIsNeverRefusedAsNotRun() {
    actions =
        node.onRelayedRequest(request(77, "/safe/x"), new RelayHop(OTHER, 10, 1, true), nowNs);
    for (int attempt = 0; attempt < 3 && refusals().isEmpty(); attempt++) {
      end(77, AttemptOutcome.NOT_CONNECTED);
    }
    assertThat(refusals()).containsExactly(RefusalReason.BROKEN);
  }

  @Test
  void lostPathIsAnnouncedWithTheNextSync() {
    losePaths();
    advanceMs(60);
    assertThat(actions)
        .anyMatch(
            action ->
                action instanceof ForwardAction.SendControl send
                    && send.message() instanceof ServingMessage.Paths paths
                    && paths.lost().equals(List.of(TestPlans.PLAIN)));
  }

  /** Guards against callers that wait for a connection of their VM's to time out. */
  @Test
  void unansweredIdempotentRequestIsMovedWhenPathsAreLost() {
    final long idempotent = arrive("/safe/x");
    final long other = arrive("/unsafe/x");
    advanceMs(1_000);
    losePaths();
    assertThat(relaysAtLoss).hasSize(1);
    assertThat(relaysAtLoss.get(0).request()).isEqualTo(idempotent).isNotEqualTo(other);
    assertThat(relaysAtLoss.get(0).hop().maybeRan()).isTrue();
  }

  /** Guards against upstreams that are avoided for what was no fault of theirs. */
  @Test
  void upstreamsAreUsedAtOnceWhenPathsAreBack() {
    long number = arrive("/unsafe/x");
    losePaths();
    end(number, AttemptOutcome.BROKEN);
    advanceMs(300);
    for (String id : List.of("p1", "p2", "p3")) {
      node.onProbeEnded(upstream(id, TestPlans.PLAIN, 4).id(), ProbeResult.CONNECTED, nowNs);
    }
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 9; i++) {
      arrive("/unsafe/x");
      used.addAll(dispatches());
    }
    assertThat(used).containsExactlyInAnyOrder("p1", "p2", "p3");
  }
}
