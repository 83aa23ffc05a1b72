package org.teaseltrail.core.schedule;

import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.fleet.InFlightRequest;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TicketPhase;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Carries grants from the placement over the claim to the end, or back to the queue. */
final class GrantCoordinator {

  /** How long a ticket is kept away from the upstream that declined it last. */
  private static final long DECLINED_AVOIDANCE_NS = Nanos.fromMs(2_000);

  /** The same for a VM without a session: its next hello, half a second on, may bring it one. */
  private static final long NO_SESSION_AVOIDANCE_NS = Nanos.fromMs(500);

  private final PoolState state;
  private final TicketAdmissionController admissionController;
  private final InFlightRequestReaper reaper;

  GrantCoordinator(
      PoolState state, TicketAdmissionController intake, InFlightRequestReaper expiry) {
    this.state = state;
    this.admissionController = intake;
    this.reaper = expiry;
  }

  /** Grants a placement at once, or asks for its claim first. */
  void grantPlacement(Placement placement, long nowNs) {
    TrackedTicket ticket = placement.ticket();
    state.queue().remove(ticket);
    state.queue().charge(ticket);
    state.drain().recordDrained(ticket.estimate().engineUs());
    InFlightRequest part =
        state.fleet().grant(ticket, placement.upstream(), placement.cachedTokens(), nowNs);
    reaper.track(part);
    if (ticket.ticket().claim().isPresent()) {
      ticket.markClaiming();
      state.output().commitClaim(ticket, placement.upstream(), placement.reason());
      return;
    }
    sendGrant(ticket, part, placement.reason());
  }

  private void sendGrant(TrackedTicket ticket, InFlightRequest part, String reason) {
    Invariant.check(
        !state.ticketRegistry().hasEnded(ticket.request()), InvariantName.NO_GRANT_AFTER_END);
    ticket.granted();
    state.output().grant(part, reason);
  }

  /** Sends the grant whose claim is committed, unless its upstream has left meanwhile. */
  void onClaimGranted(RequestId request, long nowNs) {
    Optional<TrackedTicket> claiming = claiming(request);
    if (claiming.isEmpty()) {
      return;
    }
    TrackedTicket ticket = claiming.get();
    InFlightRequest part = state.fleet().find(request).orElseThrow();
    if (part.upstream().isServing(nowNs)) {
      sendGrant(ticket, part, "claim=committed");
    } else {
      requeue(part, nowNs, "upstream=left_during_claim");
    }
  }

  /** Drops a ticket whose key another request holds; its caller has been told. */
  void onClaimDenied(RequestId request, long nowNs) {
    Optional<TrackedTicket> claiming = claiming(request);
    if (claiming.isPresent()) {
      InFlightRequest part = state.fleet().find(request).orElseThrow();
      state.fleet().remove(part, nowNs);
      refundAll(part);
      state.ticketRegistry().remove(claiming.get());
    }
  }

  private Optional<TrackedTicket> claiming(RequestId request) {
    return state.ticketRegistry().find(request).filter(t -> t.phase() == TicketPhase.CLAIMING);
  }

  /** Takes a grant back that a VM could not use; nothing ran. */
  void declined(EntryMessage.Declined declined, long nowNs) {
    Optional<InFlightRequest> found = state.fleet().find(declined.request());
    // A stale grant is one of an older leadership: its decline, passed on to this scheduler, must
    // not undo this scheduler's own grant, or the request would be granted twice.
    boolean stale = declined.reason() == DeclineReason.STALE_GRANT;
    if (stale || found.isEmpty() || !isOutstanding(found.get(), declined)) {
      return;
    }
    InFlightRequest part = found.get();
    // Guards against a repeated decline that would undo a later grant to the same upstream: it
    // would show as a request granted twice. A decline of another upstream's grant is ignored.
    boolean noSession = declined.reason() == DeclineReason.NO_SESSION;
    part.trackedTicket()
        .avoid(
            part.upstreamId(),
            nowNs + (noSession ? NO_SESSION_AVOIDANCE_NS : DECLINED_AVOIDANCE_NS));
    requeue(part, nowNs, "declined=" + declined.reason());
    switch (declined.reason()) {
      case UNKNOWN_REQUEST -> dropWaiting(part.trackedTicket(), nowNs);
      case NO_SESSION -> {}
      case LEAVING -> state.fleet().leaving(part.upstream());
      default -> state.fleet().backOff(part.upstream(), nowNs);
    }
  }

  private static boolean isOutstanding(InFlightRequest part, EntryMessage.Declined declined) {
    return part.trackedTicket().phase() == TicketPhase.GRANTED
        && part.outputTokens() == 0
        && part.upstreamId().equals(declined.upstream());
  }

  private void dropWaiting(TrackedTicket ticket, long nowNs) {
    state.queue().remove(ticket);
    state.output().releaseClaim(ticket);
    state.ticketRegistry().end(ticket.request(), nowNs);
  }

  private void requeue(InFlightRequest part, long nowNs, String reason) {
    TrackedTicket ticket = part.trackedTicket();
    state.fleet().remove(part, nowNs);
    refundAll(part);
    state.output().regrant(ticket, part.upstream(), reason);
    ticket.markWaiting();
    state.queue().add(ticket);
  }

  private void refundAll(InFlightRequest part) {
    state.queue().refund(part.trackedTicket(), part.trackedTicket().estimate().engineUs());
  }

  /**
   * Takes a ticket back that its VM no longer wants. A VM withdraws only what it has not
   * dispatched, so nothing ran, unless the VM itself has told of the dispatch.
   */
  void onWithdrawn(RequestId request, long nowNs) {
    Optional<InFlightRequest> part = state.fleet().find(request);
    if (part.isPresent() && part.get().isDispatchConfirmed()) {
      return;
    }
    part.ifPresent(p -> state.fleet().remove(p, nowNs));
    part.ifPresent(this::refundAll);
    Optional<TrackedTicket> known = state.ticketRegistry().find(request);
    known.filter(TrackedTicket::isWaiting).ifPresent(state.queue()::remove);
    known.ifPresent(state.output()::releaseClaim);
    state.ticketRegistry().end(request, nowNs);
  }

  /** Takes the end of a dispatched request. */
  void onEnded(EntryMessage.Ended ended, long nowNs) {
    Optional<InFlightRequest> part = state.fleet().find(ended.request());
    part.ifPresent(p -> updateEstimates(p, ended, nowNs));
    state
        .ticketRegistry()
        .find(ended.request())
        .filter(TrackedTicket::isWaiting)
        .ifPresent(state.queue()::remove);
    state.ticketRegistry().end(ended.request(), nowNs);
  }

  private void updateEstimates(InFlightRequest part, EntryMessage.Ended ended, long nowNs) {
    state.fleet().onEnded(part, ended, nowNs);
    if (ended.kind() == EndKind.COMPLETED && ended.hasKnownDuration()) {
      int tokens = ended.usage().outputTokens();
      state.estimator().observe(part.ticket(), tokens, ended.sinceDispatchMs());
    }
  }

  /** Counts a request that was dispatched under an older scheduler. */
  void onStillRunning(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    Ticket ticket = running.ticket();
    if (state.ticketRegistry().hasEnded(ticket.request())) {
      return;
    }
    Optional<InFlightRequest> part = state.fleet().find(ticket.request());
    if (part.isPresent() && part.get().upstreamId().equals(running.upstream())) {
      state.fleet().onProgress(part.get(), running.outputTokens(), nowNs);
      markGranted(part.get());
      return;
    }
    part.ifPresent(p -> state.fleet().remove(p, nowNs));
    state
        .ticketRegistry()
        .find(ticket.request())
        .filter(TrackedTicket::isWaiting)
        .ifPresent(state.queue()::remove);
    adopt(vm, running, nowNs);
  }

  private static void markGranted(InFlightRequest part) {
    if (part.trackedTicket().phase() == TicketPhase.CLAIMING) {
      part.trackedTicket().granted();
    }
  }

  private void adopt(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    TrackedTicket tracked = admissionController.track(vm, running.ticket(), nowNs);
    tracked.granted();
    state.ticketRegistry().add(tracked);
    long dispatchedNs = nowNs - Nanos.fromMs(running.sinceDispatchMs());
    InFlightRequest part = state.fleet().adopt(tracked, running.upstream(), dispatchedNs);
    state.fleet().onProgress(part, running.outputTokens(), nowNs);
    reaper.track(part);
  }

  /** Drops what a lapsed VM had waiting, and keeps for a while what it may have dispatched. */
  void onVmSessionExpired(VmId vm, long nowNs) {
    for (TrackedTicket ticket : state.ticketRegistry().notGrantedOf(vm)) {
      state.fleet().find(ticket.request()).ifPresent(p -> removeUngranted(p, nowNs));
      if (ticket.isWaiting()) {
        state.queue().remove(ticket);
      }
      state.output().releaseClaim(ticket);
      state.ticketRegistry().remove(ticket);
    }
    state.fleet().inFlightOfVm(vm).forEach(part -> reaper.onVmSessionExpired(part, nowNs));
  }

  private void removeUngranted(InFlightRequest part, long nowNs) {
    state.fleet().remove(part, nowNs);
    refundAll(part);
  }
}
