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
import org.teaseltrail.core.schedule.fleet.InFlight;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TicketPhase;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Carries grants from the placement over the claim to the end, or back to the queue. */
final class GrantDesk {

  /** How long a ticket is kept away from the upstream that declined it last. */
  private static final long AVOID_NS = Nanos.fromMs(2_000);

  /** The same for a VM without a session: its next hello, half a second on, may bring it one. */
  private static final long SESSION_NS = Nanos.fromMs(500);

  private final PoolState state;
  private final TicketIntake intake;
  private final InFlightExpiry expiry;

  GrantDesk(PoolState state, TicketIntake intake, InFlightExpiry expiry) {
    this.state = state;
    this.intake = intake;
    this.expiry = expiry;
  }

  /** Grants a placement at once, or asks for its claim first. */
  void place(Placement placement, long nowNs) {
    TrackedTicket ticket = placement.ticket();
    state.queue().remove(ticket);
    state.queue().charge(ticket);
    state.drain().drained(ticket.estimate().engineUs());
    InFlight part =
        state.fleet().grant(ticket, placement.upstream(), placement.cachedTokens(), nowNs);
    expiry.watch(part);
    if (ticket.ticket().claim().isPresent()) {
      ticket.claiming();
      state.out().commitClaim(ticket, placement.upstream(), placement.reason());
      return;
    }
    sendGrant(ticket, part, placement.reason());
  }

  private void sendGrant(TrackedTicket ticket, InFlight part, String reason) {
    Invariant.check(!state.book().hasEnded(ticket.request()), InvariantName.NO_GRANT_AFTER_END);
    ticket.granted();
    state.out().grant(part, reason);
  }

  /** Sends the grant whose claim is committed, unless its upstream has left meanwhile. */
  void claimGranted(RequestId request, long nowNs) {
    Optional<TrackedTicket> claiming = claiming(request);
    if (claiming.isEmpty()) {
      return;
    }
    TrackedTicket ticket = claiming.get();
    InFlight part = state.fleet().find(request).orElseThrow();
    if (part.upstream().isServing(nowNs)) {
      sendGrant(ticket, part, "claim=committed");
    } else {
      waitAgain(part, nowNs, "upstream=left_during_claim");
    }
  }

  /** Drops a ticket whose key another request holds; its caller has been told. */
  void claimDenied(RequestId request, long nowNs) {
    Optional<TrackedTicket> claiming = claiming(request);
    if (claiming.isPresent()) {
      InFlight part = state.fleet().find(request).orElseThrow();
      state.fleet().remove(part, nowNs);
      refundWhole(part);
      state.book().forget(claiming.get());
    }
  }

  private Optional<TrackedTicket> claiming(RequestId request) {
    return state.book().find(request).filter(t -> t.phase() == TicketPhase.CLAIMING);
  }

  /** Takes a grant back that a VM could not use; nothing ran. */
  void declined(EntryMessage.Declined declined, long nowNs) {
    Optional<InFlight> found = state.fleet().find(declined.request());
    // A stale grant is one of an older leadership: its decline, passed on to this scheduler, must
    // not undo this scheduler's own grant, or the request would be granted twice.
    boolean stale = declined.reason() == DeclineReason.STALE_GRANT;
    if (stale || found.isEmpty() || !isOutstanding(found.get(), declined)) {
      return;
    }
    InFlight part = found.get();
    // Guards against a repeated decline that would undo a later grant to the same upstream: it
    // would show as a request granted twice. A decline of another upstream's grant is ignored.
    boolean noSession = declined.reason() == DeclineReason.NO_SESSION;
    part.tracked().avoid(part.upstreamId(), nowNs + (noSession ? SESSION_NS : AVOID_NS));
    waitAgain(part, nowNs, "declined=" + declined.reason());
    switch (declined.reason()) {
      case UNKNOWN_REQUEST -> dropWaiting(part.tracked(), nowNs);
      case NO_SESSION -> {}
      case LEAVING -> state.fleet().leaving(part.upstream());
      default -> state.fleet().backOff(part.upstream(), nowNs);
    }
  }

  private static boolean isOutstanding(InFlight part, EntryMessage.Declined declined) {
    return part.tracked().phase() == TicketPhase.GRANTED
        && part.outputTokens() == 0
        && part.upstreamId().equals(declined.upstream());
  }

  private void dropWaiting(TrackedTicket ticket, long nowNs) {
    state.queue().remove(ticket);
    state.out().releaseClaim(ticket);
    state.book().end(ticket.request(), nowNs);
  }

  private void waitAgain(InFlight part, long nowNs, String reason) {
    TrackedTicket ticket = part.tracked();
    state.fleet().remove(part, nowNs);
    refundWhole(part);
    state.out().regrant(ticket, part.upstream(), reason);
    ticket.waitAgain();
    state.queue().add(ticket);
  }

  private void refundWhole(InFlight part) {
    state.queue().refund(part.tracked(), part.tracked().estimate().engineUs());
  }

  /**
   * Takes a ticket back that its VM no longer wants. A VM withdraws only what it has not
   * dispatched, so nothing ran, unless the VM itself has told of the dispatch.
   */
  void withdrawn(RequestId request, long nowNs) {
    Optional<InFlight> part = state.fleet().find(request);
    if (part.isPresent() && part.get().isConfirmed()) {
      return;
    }
    part.ifPresent(p -> state.fleet().remove(p, nowNs));
    part.ifPresent(this::refundWhole);
    Optional<TrackedTicket> known = state.book().find(request);
    known.filter(TrackedTicket::isWaiting).ifPresent(state.queue()::remove);
    known.ifPresent(state.out()::releaseClaim);
    state.book().end(request, nowNs);
  }

  /** Takes the end of a dispatched request. */
  void ended(EntryMessage.Ended ended, long nowNs) {
    Optional<InFlight> part = state.fleet().find(ended.request());
    part.ifPresent(p -> learn(p, ended, nowNs));
    state
        .book()
        .find(ended.request())
        .filter(TrackedTicket::isWaiting)
        .ifPresent(state.queue()::remove);
    state.book().end(ended.request(), nowNs);
  }

  private void learn(InFlight part, EntryMessage.Ended ended, long nowNs) {
    state.fleet().ended(part, ended, nowNs);
    if (ended.kind() == EndKind.COMPLETED && ended.hasKnownDuration()) {
      int tokens = ended.usage().outputTokens();
      state.estimator().observe(part.ticket(), tokens, ended.sinceDispatchMs());
    }
  }

  /** Counts a request that was dispatched under an older scheduler. */
  void stillRunning(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    Ticket ticket = running.ticket();
    if (state.book().hasEnded(ticket.request())) {
      return;
    }
    Optional<InFlight> part = state.fleet().find(ticket.request());
    if (part.isPresent() && part.get().upstreamId().equals(running.upstream())) {
      state.fleet().progressed(part.get(), running.outputTokens(), nowNs);
      markGranted(part.get());
      return;
    }
    part.ifPresent(p -> state.fleet().remove(p, nowNs));
    state
        .book()
        .find(ticket.request())
        .filter(TrackedTicket::isWaiting)
        .ifPresent(state.queue()::remove);
    adopt(vm, running, nowNs);
  }

  private static void markGranted(InFlight part) {
    if (part.tracked().phase() == TicketPhase.CLAIMING) {
      part.tracked().granted();
    }
  }

  private void adopt(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    TrackedTicket tracked = intake.track(vm, running.ticket(), nowNs);
    tracked.granted();
    state.book().add(tracked);
    long dispatchedNs = nowNs - Nanos.fromMs(running.sinceDispatchMs());
    InFlight part = state.fleet().adopt(tracked, running.upstream(), dispatchedNs);
    state.fleet().progressed(part, running.outputTokens(), nowNs);
    expiry.watch(part);
  }

  /** Drops what a lapsed VM had waiting, and keeps for a while what it may have dispatched. */
  void vmLapsed(VmId vm, long nowNs) {
    for (TrackedTicket ticket : state.book().notGrantedOf(vm)) {
      state.fleet().find(ticket.request()).ifPresent(p -> removeUngranted(p, nowNs));
      if (ticket.isWaiting()) {
        state.queue().remove(ticket);
      }
      state.out().releaseClaim(ticket);
      state.book().forget(ticket);
    }
    state.fleet().ofVm(vm).forEach(part -> expiry.lapsed(part, nowNs));
  }

  private void removeUngranted(InFlight part, long nowNs) {
    state.fleet().remove(part, nowNs);
    refundWhole(part);
  }
}
