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

/**
 * Coordinates the life cycle of grants: from the placement through the commit of the claim to the
 * end of the request, or back to the queue if the grant is not used.
 */
final class GrantCoordinator {

  /** Time for which a ticket is not granted the upstream of its last declined grant again. */
  private static final long DECLINED_AVOIDANCE_NS = Nanos.fromMs(2_000);

  /**
   * The same if the VM declined because it had no valid session. The VM sends its next Hello, which
   * may renew the session, half a second later.
   */
  private static final long NO_SESSION_AVOIDANCE_NS = Nanos.fromMs(500);

  private final PoolState state;
  private final TicketAdmissionController admissionController;
  private final InFlightRequestReaper reaper;

  GrantCoordinator(
      PoolState state,
      TicketAdmissionController admissionController,
      InFlightRequestReaper reaper) {
    this.state = state;
    this.admissionController = admissionController;
    this.reaper = reaper;
  }

  /** Sends the grant of a placement, or requests the commit of the ticket's claim first. */
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

  /**
   * Sends the grant whose claim is committed, or requeues it if the upstream has left meanwhile.
   */
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

  /**
   * Removes a ticket whose idempotency key is claimed by another request. The caller has already
   * received its answer.
   */
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

  /** Requeues the ticket of a grant that a VM declined; the request has not been dispatched. */
  void declined(EntryMessage.Declined declined, long nowNs) {
    Optional<InFlightRequest> found = state.fleet().find(declined.request());
    // A stale grant was issued under an earlier leadership. Its decline is also forwarded to this
    // scheduler and must not cancel this scheduler's own grant: the request would be granted twice.
    boolean stale = declined.reason() == DeclineReason.STALE_GRANT;
    if (stale || found.isEmpty() || !isOutstanding(found.get(), declined)) {
      return;
    }
    InFlightRequest part = found.get();
    // The upstream is avoided for a while so that a duplicated decline can't cancel a later grant
    // to the same upstream, which would grant the request twice. A decline that names another
    // upstream than the current grant is ignored.
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
   * Removes a ticket that its VM has withdrawn. A VM withdraws only requests that it has not
   * dispatched, so a withdrawal is ignored if the VM has already reported the dispatch.
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

  /** Releases the capacity of a request that has ended, and updates the estimates from it. */
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

  /** Accounts for a request that was dispatched under an earlier scheduler and still runs. */
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

  /**
   * Removes the waiting tickets of a VM whose session has expired. Its granted requests may have
   * been dispatched, so they stay accounted for until their retention time ends.
   */
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
