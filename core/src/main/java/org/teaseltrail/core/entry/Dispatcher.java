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

/** Follows the scheduler's answers up to the dispatch. */
final class Dispatcher {

  /** When a caller may come back whose request its upstream refused. */
  static final long REFUSED_RETRY_AFTER_MS = 1_000;

  private final EntryContext parts;
  private final RequestCloser closer;

  Dispatcher(EntryContext parts, RequestCloser closer) {
    this.parts = parts;
    this.closer = closer;
  }

  /**
   * Follows a grant or declines it.
   *
   * <p>Guards against a leader that was frozen and thaws with old grants, which would show as work
   * for an upstream that has left since: only the newest leadership seen, within a valid session,
   * may grant. A doubled grant finds its request no longer waiting and changes nothing.
   */
  void granted(MemberId member, Grant grant, long nowNs) {
    Optional<Request> request = parts.requests.live(grant.request());
    if (!parts.session.isFromLeader(member, grant.fencing())) {
      decline(member, grant, DeclineReason.STALE_GRANT);
    } else if (!parts.session.isValid(nowNs)) {
      decline(member, grant, DeclineReason.NO_SESSION);
    } else if (request.isEmpty()) {
      answerUnheld(member, grant);
    } else if (request.get().state() == RequestState.WAITING) {
      follow(member, grant, request.get(), nowNs);
    }
  }

  /**
   * Answers a grant for a request that no longer lives here.
   *
   * <p>Guards against an offer that lay in a cut link while the request ran and ended under another
   * leader: the next leader reads it late and grants. It shows as places of an upstream that stay
   * taken for minutes. One that ran here is told as ended once more; any other did not run.
   */
  private void answerUnheld(MemberId member, Grant grant) {
    Optional<RequestStatus> ran =
        parts.requests.status(grant.request()).filter(RequestStatus::dispatched);
    if (ran.isPresent()) {
      parts.endedReports.send(endOf(ran.get(), grant.upstream()));
    } else {
      decline(member, grant, DeclineReason.UNKNOWN_REQUEST);
    }
  }

  /** Tells an end again; the time of the answer isn't kept, and zero says so. */
  private static EntryMessage.Ended endOf(RequestStatus ran, UpstreamId granted) {
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

  private void follow(MemberId member, Grant grant, Request request, long nowNs) {
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
   * Gives back a grant that its scheduler asks back, unless the request was dispatched.
   *
   * <p>Only the newest leadership may ask: an older one doesn't know of later grants.
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
      giveBack(request.get(), DeclineReason.LEAVING);
    }
  }

  private static boolean isAt(Request request, UpstreamId upstream) {
    return request.target().filter(target -> target.upstream().equals(upstream)).isPresent();
  }

  /** Dispatches over the connection that stands, unless the upstream is leaving by now. */
  void connected(Request request, long nowNs) {
    if (request.state() != RequestState.GRANTED) {
      return;
    }
    UpstreamTarget target = request.target().orElseThrow();
    if (parts.upstreams.isLeaving(target.upstream(), request.grantedIncarnation())) {
      giveBack(request, DeclineReason.LEAVING);
    } else if (!parts.session.isValid(nowNs)) {
      giveBack(request, DeclineReason.NO_SESSION);
    } else {
      dispatch(request, target, nowNs);
    }
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
      giveBack(request, DeclineReason.CONNECT_FAILED);
    }
  }

  private void giveBack(Request request, DeclineReason reason) {
    final UpstreamTarget target = request.target().orElseThrow();
    parts.actions.add(new EntryAction.CloseUpstream(request.id()));
    parts.actions.log(EntryDecisionKind.DECLINE, request, "reason=" + reason);
    request.declineGrant();
    parts.session.sendToLeader(new EntryMessage.Declined(request.id(), target.upstream(), reason));
  }

  /**
   * Ends a request that its upstream explicitly refused before it ran. It was dispatched once, so
   * it isn't dispatched again; the caller learns at once that it did not run.
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

  /** Ends a request that the scheduler has given up; one that was granted goes on. */
  void refused(Refused refused) {
    parts
        .requests
        .live(refused.request())
        .filter(request -> request.state().isWaiting())
        .ifPresent(
            request ->
                closer.notRun(request, NotRunReason.of(refused.kind()), refused.retryAfterMs()));
  }

  /** Takes over the stream of the key's holder, or tells the caller how far the holder has come. */
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
