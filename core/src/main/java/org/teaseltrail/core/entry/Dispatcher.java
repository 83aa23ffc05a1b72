package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ClaimExists;
import org.teaseltrail.core.message.ControlMessage.Grant;
import org.teaseltrail.core.message.ControlMessage.Refused;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.RequestState;
import org.teaseltrail.core.request.UpstreamTarget;

/**
 * Handles the scheduler's decisions about waiting requests, and dispatches granted ones to their
 * upstreams.
 */
final class Dispatcher {

  /** Retry-After of a request that its upstream refused. */
  static final long REFUSED_RETRY_AFTER_MS = 1_000;

  private final EntryComponents parts;
  private final RequestCloser closer;

  Dispatcher(EntryComponents parts, RequestCloser closer) {
    this.parts = parts;
    this.closer = closer;
  }

  /**
   * Connects to the granted upstream, or declines the grant.
   *
   * <p>A leader that was paused may resume and send outdated grants, for upstreams that have left
   * in the meantime. A grant is therefore accepted only from the newest known leadership and within
   * a valid session. A duplicate grant finds the request no longer waiting and has no effect.
   */
  void granted(MemberId member, Grant grant, long nowNs) {
    Optional<Request> request = parts.requests.live(grant.request());
    if (!parts.session.isFromLeader(member, grant.fencing())) {
      decline(member, grant, DeclineReason.STALE_GRANT);
    } else if (!parts.session.isValid(nowNs)) {
      decline(member, grant, DeclineReason.NO_SESSION);
    } else if (request.isEmpty()) {
      answerInactive(member, grant);
    } else if (request.get().state() == RequestState.WAITING
        && !withdrawIfQuarantined(request.get(), nowNs)) {
      connect(member, grant, request.get(), nowNs);
    }
  }

  /**
   * Answers a grant for a request that is no longer active on this VM.
   *
   * <p>An offer can be delayed by a network partition while its request runs and ends under another
   * leader; the next leader then receives the offer late and grants it. Without an answer, the
   * upstream's slots would stay occupied for minutes. If the request ran here, its end is reported
   * again; otherwise the grant is declined.
   */
  private void answerInactive(MemberId member, Grant grant) {
    Optional<RequestStatus> ran =
        parts.requests.status(grant.request()).filter(RequestStatus::dispatched);
    if (ran.isPresent()) {
      parts.endedReports.send(repeatedEnd(ran.get(), grant.upstream()));
    } else {
      decline(member, grant, DeclineReason.UNKNOWN_REQUEST);
    }
  }

  /**
   * Creates a repeated end report. The time since the dispatch is no longer known, which the report
   * states as zero.
   */
  private static EntryMessage.Ended repeatedEnd(RequestStatus ran, UpstreamId granted) {
    Optional<Usage> usage =
        ran.outcome()
            .filter(Outcome.Completed.class::isInstance)
            .map(outcome -> ((Outcome.Completed) outcome).usage());
    EndKind kind = usage.isPresent() ? EndKind.COMPLETED : EndKind.CANCELLED;
    return new EntryMessage.Ended(
        ran.request(),
        granted,
        kind,
        usage.orElse(new Usage(0, 0, 0)),
        EntryMessage.Ended.UNKNOWN_DURATION_MS);
  }

  private void connect(MemberId member, Grant grant, Request request, long nowNs) {
    if (parts.upstreams.isLeaving(grant.upstream(), grant.upstreamIncarnation())) {
      decline(member, grant, DeclineReason.LEAVING);
      return;
    }
    UpstreamTarget target = new UpstreamTarget(grant.upstream(), grant.address());
    int attempt = request.grant(target, grant.upstreamIncarnation(), nowNs);
    parts.actions.add(new EntryAction.Connect(request.id(), attempt, target, request.asked()));
  }

  private void decline(MemberId member, Grant grant, DeclineReason reason) {
    decline(member, grant.request(), grant.upstream(), reason);
  }

  private void decline(
      MemberId member, RequestId request, UpstreamId upstream, DeclineReason reason) {
    parts.actions.add(
        new EntryAction.SendControl(member, new EntryMessage.Declined(request, upstream, reason)));
    parts.actions.log(
        EntryDecisionKind.DECLINE,
        Optional.of(upstream),
        "request=" + request + " reason=" + reason);
  }

  /**
   * Declines a grant that the scheduler recalls, unless the request was already dispatched.
   *
   * <p>Only the newest leadership may recall a grant, since an older one doesn't know of later
   * grants.
   */
  void recalled(MemberId member, ControlMessage.Recall recall) {
    Optional<Request> request = parts.requests.live(recall.request());
    if (request.isEmpty() || !parts.session.isFromLeader(member, recall.fencing())) {
      return;
    }
    boolean granted = request.get().state() == RequestState.GRANTED;
    if (request.get().state() == RequestState.WAITING) {
      decline(member, recall.request(), recall.upstream(), DeclineReason.LEAVING);
    } else if (granted && isAt(request.get(), recall.upstream())) {
      declineGranted(request.get(), DeclineReason.LEAVING);
    }
  }

  private static boolean isAt(Request request, UpstreamId upstream) {
    return request.target().filter(target -> target.upstream().equals(upstream)).isPresent();
  }

  /**
   * Dispatches a request after its connection is established, unless the upstream is leaving by
   * now.
   */
  void connected(Request request, long nowNs) {
    if (request.state() != RequestState.GRANTED) {
      return;
    }
    parts.quarantine.onUpstreamReached(nowNs);
    if (withdrawIfQuarantined(request, nowNs)) {
      return;
    }
    UpstreamTarget target = request.target().orElseThrow();
    if (parts.upstreams.isLeaving(target.upstream(), request.grantedIncarnation())) {
      declineGranted(request, DeclineReason.LEAVING);
    } else if (!parts.session.isValid(nowNs)) {
      declineGranted(request, DeclineReason.NO_SESSION);
    } else {
      dispatch(request, target, nowNs);
    }
  }

  /** Ends requests that have been quarantined since they were admitted and are not dispatched. */
  void withdrawQuarantined(long nowNs) {
    parts.requests.waiting().forEach(request -> withdrawIfQuarantined(request, nowNs));
  }

  private boolean withdrawIfQuarantined(Request request, long nowNs) {
    Optional<Long> retryAfterMs = parts.quarantine.retryAfterMs(request.id(), nowNs);
    retryAfterMs.ifPresent(
        waitMs ->
            closer.withdraw(request, WithdrawReason.GIVEN_UP, NotRunReason.QUARANTINED, waitMs));
    return retryAfterMs.isPresent();
  }

  private void dispatch(Request request, UpstreamTarget target, long nowNs) {
    Invariant.check(
        !parts.upstreams.isLeaving(target.upstream(), request.grantedIncarnation()),
        InvariantName.NO_DISPATCH_TO_LEAVING);
    request.dispatch(nowNs);
    parts.actions.add(new EntryAction.Transmit(request.id(), request.attempt()));
    parts.actions.log(
        EntryDecisionKind.DISPATCH,
        request,
        "fencing=" + parts.session.fencing() + " waited_ms=" + request.waitedMs(nowNs));
  }

  void connectFailed(Request request) {
    if (request.state() == RequestState.GRANTED) {
      declineGranted(request, DeclineReason.CONNECT_FAILED);
    }
  }

  private void declineGranted(Request request, DeclineReason reason) {
    final UpstreamTarget target = request.target().orElseThrow();
    parts.actions.add(new EntryAction.CloseUpstream(request.id()));
    parts.actions.log(EntryDecisionKind.DECLINE, request, "reason=" + reason);
    request.declineGrant();
    parts.session.sendToLeader(new EntryMessage.Declined(request.id(), target.upstream(), reason));
  }

  /**
   * Ends a request that its upstream refused before running it. Since the request was already
   * dispatched once, it is not dispatched again; the caller is informed immediately that it did not
   * run.
   */
  void refusedByUpstream(Request request) {
    if (request.state() != RequestState.DISPATCHED) {
      return;
    }
    request.markRefusedByUpstream();
    UpstreamTarget target = request.target().orElseThrow();
    parts.session.sendToLeader(
        new EntryMessage.Declined(
            request.id(), target.upstream(), DeclineReason.REFUSED_BY_UPSTREAM));
    closer.withdraw(
        request, WithdrawReason.GIVEN_UP, NotRunReason.REFUSED_BY_UPSTREAM, REFUSED_RETRY_AFTER_MS);
  }

  /**
   * Ends a request that the scheduler refused. A request that was granted in the meantime
   * continues.
   */
  void refused(Refused refused) {
    parts
        .requests
        .live(refused.request())
        .filter(request -> request.state().isWaiting())
        .ifPresent(
            request ->
                closer.notRun(request, NotRunReason.of(refused.kind()), refused.retryAfterMs()));
  }

  /**
   * Takes over the stream of the request that holds the idempotency key, or reports the state of
   * that request to the caller.
   */
  void claimExists(ClaimExists claim, long nowNs) {
    parts
        .requests
        .live(claim.request())
        .filter(request -> request.state().isWaiting())
        .ifPresent(request -> answerClaim(request, claim, nowNs));
  }

  private void answerClaim(Request request, ClaimExists claim, long nowNs) {
    if (!isAdoptable(request, claim)) {
      closer.conclude(request, new Outcome.HeldByEarlier(claim.holder(), claim.state()));
      parts.actions.log(
          EntryDecisionKind.REFUSE,
          request,
          "reason=key-held holder=" + claim.holder() + " state=" + claim.state());
      return;
    }
    UpstreamTarget target =
        new UpstreamTarget(claim.upstream().orElseThrow(), claim.address().orElseThrow());
    int attempt = request.adopt(claim.holder(), claim.state(), target, nowNs);
    parts.actions.add(
        new EntryAction.Resume(
            request.id(), attempt, claim.holder(), target, request.nextSequence()));
    parts.actions.log(
        EntryDecisionKind.ADOPT,
        request,
        "holder=" + claim.holder() + " from=" + request.nextSequence());
  }

  private static boolean isAdoptable(Request request, ClaimExists claim) {
    boolean hasStream =
        claim.state() == ClaimState.RUNNING || claim.state() == ClaimState.COMPLETED;
    return hasStream
        && request.ticket().kind() == RequestKind.GENERATION
        && claim.upstream().isPresent()
        && claim.address().isPresent();
  }
}
