package org.teaseltrail.core.schedule;

import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.fleet.InFlightRequest;
import org.teaseltrail.core.schedule.limit.RateLimiter;
import org.teaseltrail.core.schedule.ticket.QueuePosition;
import org.teaseltrail.core.schedule.ticket.TicketEstimate;
import org.teaseltrail.core.schedule.ticket.TicketPhase;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Admits offered tickets to the queue, or refuses those over a limit or without a route. */
final class TicketAdmissionController {

  /** The tier of all tickets while tier order is disabled. */
  private static final Tier SINGLE_TIER = new Tier(1);

  /** The customer of all tickets while fair sharing is disabled. */
  private static final CustomerId SINGLE_CUSTOMER = new CustomerId("all");

  /**
   * Waiting time from which an offer is treated as a repeated one, which is not counted against the
   * customer's rate again.
   */
  private static final long REOFFER_MIN_WAIT_MS = 1_000;

  /** Multiple of its own service time by which a request moves back in the order. */
  private static final double SERVICE_TIME_WEIGHT = 5;

  /** Maximum time by which a request moves back, so that long requests don't starve. */
  private static final double MAX_ORDER_DELAY_MS = 10_000;

  private static final double NS_PER_MS = 1e6;

  private final PoolState state;
  private final VmReportTracker vmReports;
  private final RefusalHandler refusals;
  private final RateLimiter rateLimiter = new RateLimiter();
  private long offerCount;

  TicketAdmissionController(PoolState state, VmReportTracker vmReports, RefusalHandler refusals) {
    this.state = state;
    this.vmReports = vmReports;
    this.refusals = refusals;
  }

  /** Applies the configured rates, and refuses waiting tickets no longer routed to this pool. */
  void onConfigurationChanged(long nowNs) {
    rateLimiter.configure(state.configuration(), nowNs);
    for (TrackedTicket ticket : state.ticketRegistry().waiting()) {
      if (!state.isRouted(ticket.ticket())) {
        String reason = "route=" + ticket.ticket().route();
        refusals.refuseWaiting(ticket, RefusalKind.UNKNOWN_POOL, 0, reason, nowNs);
      }
    }
  }

  /** Handles an offer: queues a new ticket, or repeats the answer to a known one. */
  void offered(VmId vm, Ticket ticket, long nowNs) {
    if (state.ticketRegistry().hasEnded(ticket.request())) {
      resendRefusal(vm, ticket);
      return;
    }
    Optional<TrackedTicket> known = state.ticketRegistry().find(ticket.request());
    if (known.isPresent()) {
      resendLostGrant(known.get(), nowNs);
      return;
    }
    TrackedTicket tracked = track(vm, ticket, nowNs);
    if (!state.isRouted(ticket)) {
      refusals.refuse(tracked, RefusalKind.UNKNOWN_POOL, 0, "route=" + ticket.route(), nowNs);
      return;
    }
    OptionalLong retryDelayMs = rateLimitDelayMs(ticket, nowNs);
    if (retryDelayMs.isPresent()) {
      long retryAfterMs = retryDelayMs.getAsLong();
      refusals.refuse(tracked, RefusalKind.RATE_LIMIT, retryAfterMs, "rate=exceeded", nowNs);
      return;
    }
    state.ticketRegistry().add(tracked);
    state.queue().add(tracked);
  }

  /** Creates the scheduler's record of a ticket. */
  TrackedTicket track(VmId vm, Ticket ticket, long nowNs) {
    TicketEstimate estimate = state.estimator().estimate(ticket, nowNs);
    QueuePosition place = place(ticket, estimate, nowNs);
    return new TrackedTicket(ticket, vm, ++offerCount, nowNs, estimate, place);
  }

  private QueuePosition place(Ticket ticket, TicketEstimate estimate, long nowNs) {
    boolean byDeadline = state.isEnabled(PolicyPart.DEADLINE_ORDER);
    boolean fair = state.isEnabled(PolicyPart.FAIR_SHARE);
    return new QueuePosition(
        state.isEnabled(PolicyPart.TIER_ORDER) ? ticket.tier() : SINGLE_TIER,
        fair ? ticket.customer() : SINGLE_CUSTOMER,
        fair ? weightOf(ticket) : 1,
        byDeadline ? byUsefulDeadline(estimate) : nowNs);
  }

  /**
   * Returns the order by useful deadline, with short requests moved before long ones: when more
   * requests wait than can be served in time, several short answers fit into the time of a long
   * one.
   */
  private static long byUsefulDeadline(TicketEstimate estimate) {
    double delayMs = Math.min(MAX_ORDER_DELAY_MS, SERVICE_TIME_WEIGHT * estimate.serviceTimeMs());
    return estimate.usefulDeadlineNs() + (long) (delayMs * NS_PER_MS);
  }

  private int weightOf(Ticket ticket) {
    Customer customer = state.configuration().customers().get(ticket.customer());
    return customer == null ? 1 : Math.max(1, customer.weight());
  }

  private OptionalLong rateLimitDelayMs(Ticket ticket, long nowNs) {
    boolean repeated = ticket.waitedMs() >= REOFFER_MIN_WAIT_MS || !vmReports.hasAllReports();
    if (repeated || !state.isEnabled(PolicyPart.RATE_LIMIT)) {
      return OptionalLong.empty();
    }
    return rateLimiter.tryAcquire(ticket.customer(), nowNs);
  }

  /**
   * Resends a refusal to a VM that offers the ticket again. The first refusal may have been lost
   * with its connection; without the repetition the caller would never get an answer.
   */
  private void resendRefusal(VmId vm, Ticket ticket) {
    Optional<ControlMessage.Refused> refusal = state.ticketRegistry().refusal(ticket.request());
    refusal.ifPresent(refused -> state.output().send(vm, refused));
  }

  /**
   * Resends an outstanding grant when its VM offers the ticket again. The first one may have been
   * lost with its connection; without the repetition the request would wait forever while its slot
   * stays occupied. Resending is safe because it is the same grant and a VM dispatches a request at
   * most once. If the upstream has left meanwhile, the grant is recalled instead. It can't simply
   * be dropped here: it may still arrive, and a running request must not be granted again or
   * refused.
   */
  private void resendLostGrant(TrackedTicket known, long nowNs) {
    Optional<InFlightRequest> part = state.fleet().find(known.request());
    if (known.phase() == TicketPhase.GRANTED
        && part.isPresent()
        && !part.get().isDispatchConfirmed()) {
      part.get().onOfferedAgain(nowNs);
      sendOrRecall(part.get(), nowNs);
    }
  }

  private void sendOrRecall(InFlightRequest part, long nowNs) {
    if (part.upstream().isServing(nowNs)) {
      state.output().sendGrant(part);
    } else {
      state.output().recall(part);
    }
  }
}
