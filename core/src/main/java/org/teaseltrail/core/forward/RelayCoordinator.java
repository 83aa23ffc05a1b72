package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.relay.PeerDirectory;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Relays requests that this VM can't send to any upstream to a peer, and ends each with exactly one
 * answer. The peer admits a relayed request as if its caller had sent it there: quota, retries and
 * slots are counted by the peer alone.
 */
final class RelayCoordinator {

  /** Serves a request at this VM because no peer can. */
  interface LocalFallback {
    void serveHere(RelayedRequest request, long nowNs);
  }

  private final VmId self;
  private final PeerDirectory peers;
  private final RetryPolicy retryPolicy;
  private final DrainProgress drain;
  private final Consumer<ForwardAction> actions;
  private final Map<Long, RelayedRequest> active = new HashMap<>();
  private LocalFallback fallback = (request, nowNs) -> {};

  RelayCoordinator(
      VmId self,
      PeerDirectory peers,
      RetryPolicy retryPolicy,
      DrainProgress drain,
      Consumer<ForwardAction> actions) {
    this.self = self;
    this.peers = peers;
    this.retryPolicy = retryPolicy;
    this.drain = drain;
    this.actions = actions;
  }

  void setFallback(LocalFallback newFallback) {
    fallback = newFallback;
  }

  /** Returns whether any peer can take requests for a service. */
  boolean hasPeer(ServiceId service, long nowNs) {
    return peers.select(service, Set.of(), nowNs).isPresent();
  }

  /** Relays a request to a peer; returns false if there is none that can take it. */
  boolean tryStart(RelayedRequest request, long nowNs) {
    Optional<PeerVm> peer = peers.select(request.service(), request.triedPeers(), nowNs);
    if (peer.isEmpty() || !drain.maySend(nowNs)) {
      return false;
    }
    request.start(peer.get());
    peers.recordStart(peer.get().vm());
    active.put(request.number(), request);
    actions.accept(
        new ForwardAction.Relay(
            request.number(),
            peer.get(),
            request.route(),
            request.customer(),
            request.hop(self, nowNs)));
    return true;
  }

  /** Records what began the stream of a relayed request, as its peer has told. */
  void onOrigin(long number, StreamOrigin origin) {
    Optional.ofNullable(active.get(number)).ifPresent(request -> request.setOrigin(origin));
  }

  /** Handles the end of a relay; ignored if the request has already ended. */
  void onEnded(long number, RelayOutcome outcome, long nowNs) {
    RelayedRequest request = active.remove(number);
    if (request == null) {
      return;
    }
    peers.recordEnd(request.currentPeer().vm(), request.service(), outcome, nowNs);
    if (outcome == RelayOutcome.REFUSED && request.maybeRan()) {
      // The peer's refusal is true of the peer only; an earlier attempt may have run.
      refuse(request, RefusalReason.BROKEN, 0);
      return;
    }
    if (!outcome.needsOtherPeer()) {
      actions.accept(new ForwardAction.Deliver(number));
      return;
    }
    if (outcome.maybeRan()) {
      request.markMaybeRan();
    }
    if (!canContinue(request, outcome, nowNs) || !tryStart(request, nowNs)) {
      endWithoutPeer(request, nowNs);
    }
  }

  private boolean canContinue(RelayedRequest request, RelayOutcome outcome, long nowNs) {
    if (!request.canTryOtherPeer()) {
      return false;
    }
    return !outcome.maybeRan()
        || (request.canRunAgain(nowNs) && retryPolicy.tryAcquireRetry(request.service(), nowNs));
  }

  private void endWithoutPeer(RelayedRequest request, long nowNs) {
    if (!drain.maySend(nowNs)) {
      boolean maybeRan = request.maybeRan();
      giveUp(
          request,
          maybeRan ? RefusalReason.GIVEN_UP : RefusalReason.ENDING,
          maybeRan ? 0 : DrainSchedule.RETRY_AFTER_MS);
    } else if (request.maybeRan()) {
      refuse(request, RefusalReason.BROKEN, 0);
    } else if (request.isTriedHere()) {
      refuse(request, RefusalReason.NOT_RUN, QueueLengthLimiter.NO_SLOT_RETRY_MS);
    } else {
      fallback.serveHere(request, nowNs);
    }
  }

  void onCallerDisconnected(long number) {
    RelayedRequest request = active.remove(number);
    if (request != null) {
      cancel(request);
    }
  }

  /** Gives up all requests, because this VM stops; those at their peers may have run there. */
  void giveUpAll() {
    for (long number : active.keySet().stream().sorted().toList()) {
      RelayedRequest request = active.remove(number);
      cancel(request);
      giveUp(request, RefusalReason.GIVEN_UP, 0);
    }
  }

  private void giveUp(RelayedRequest request, RefusalReason reason, long retryAfterMs) {
    actions.accept(
        ForwardAction.Refuse.of(
                request.number(), request.route(), request.customer(), reason, retryAfterMs)
            .at(RequestStage.AT_PEER));
  }

  /** Ends the requests whose peers have not answered in time. */
  void tick(long nowNs) {
    List<RelayedRequest> overdue =
        active.values().stream().filter(request -> nowNs >= request.expiryNs()).toList();
    for (RelayedRequest request : overdue) {
      active.remove(request.number());
      cancel(request);
      refuse(request, RefusalReason.TIMED_OUT, 0);
    }
  }

  OptionalLong nextDueNs() {
    return active.values().stream().mapToLong(RelayedRequest::expiryNs).min();
  }

  int openRequests() {
    return active.size();
  }

  private void cancel(RelayedRequest request) {
    peers.recordCancelled(request.currentPeer().vm());
    actions.accept(new ForwardAction.Cancel(request.number()));
  }

  private void refuse(RelayedRequest request, RefusalReason reason, long retryAfterMs) {
    actions.accept(
        ForwardAction.Refuse.of(
            request.number(), request.route(), request.customer(), reason, retryAfterMs));
  }
}
