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

/** Takes offers: refuses what is over a limit, queues the rest. */
final class TicketAdmissionController {

  /** Stands for every tier while tier order is off. */
  private static final Tier SINGLE_TIER = new Tier(1);

  /** Stands for every customer while fairness is off. */
  private static final CustomerId SINGLE_CUSTOMER = new CustomerId("all");

  /** Wait from which an offer counts as one told again, not as a new request of its customer. */
  private static final long REOFFER_MIN_WAIT_MS = 1_000;

  /** Time by which a request goes later for each unit of its own span. */
  private static final double SERVICE_TIME_WEIGHT = 5;

  /** Bound on that time, so that no request is overtaken for ever. */
  private static final double MAX_ORDER_DELAY_MS = 10_000;

  private static final double NS_PER_MS = 1e6;

  private final PoolState state;
  private final VmReportTracker vmReports;
  private final RefusalHandler refusals;
  private final RateLimiter rateLimiter = new RateLimiter();
  private long offerCount;

  TicketAdmissionController(PoolState state, VmReportTracker gate, RefusalHandler refusals) {
    this.state = state;
    this.vmReports = gate;
    this.refusals = refusals;
  }

  /** Takes the configured rates, and gives up what is no longer routed here. */
  void onConfigurationChanged(long nowNs) {
    rateLimiter.configure(state.configuration(), nowNs);
    for (TrackedTicket ticket : state.ticketRegistry().waiting()) {
      if (!state.isRouted(ticket.ticket())) {
        String reason = "route=" + ticket.ticket().route();
        refusals.refuseWaiting(ticket, RefusalKind.UNKNOWN_POOL, 0, reason, nowNs);
      }
    }
  }

  /** Takes an offer. */
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
    OptionalLong overRateMs = rateLimitDelayMs(ticket, nowNs);
    if (overRateMs.isPresent()) {
      long retryAfterMs = overRateMs.getAsLong();
      refusals.refuse(tracked, RefusalKind.RATE_LIMIT, retryAfterMs, "rate=exceeded", nowNs);
      return;
    }
    state.ticketRegistry().add(tracked);
    state.queue().add(tracked);
  }

  /** Makes the scheduler's own record of a ticket. */
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
   * Orders by useful deadline, but lets short requests go before long ones: with more waiting than
   * can be served in time, as many short answers fit as one long one.
   */
  private static long byUsefulDeadline(TicketEstimate estimate) {
    double laterMs = Math.min(MAX_ORDER_DELAY_MS, SERVICE_TIME_WEIGHT * estimate.serviceTimeMs());
    return estimate.usefulDeadlineNs() + (long) (laterMs * NS_PER_MS);
  }

  private int weightOf(Ticket ticket) {
    Customer customer = state.configuration().customers().get(ticket.customer());
    return customer == null ? 1 : Math.max(1, customer.weight());
  }

  private OptionalLong rateLimitDelayMs(Ticket ticket, long nowNs) {
    boolean retold = ticket.waitedMs() >= REOFFER_MIN_WAIT_MS || !vmReports.hasAllReports();
    if (retold || !state.isEnabled(PolicyPart.RATE_LIMIT)) {
      return OptionalLong.empty();
    }
    return rateLimiter.tryAcquire(ticket.customer(), nowNs);
  }

  /**
   * Tells a VM again that a request was given up. Guards against a refusal lost with its
   * connection, which shows as a caller that never gets an answer: its VM offers the ticket again.
   */
  private void resendRefusal(VmId vm, Ticket ticket) {
    Optional<ControlMessage.Refused> refusal = state.ticketRegistry().refusal(ticket.request());
    refusal.ifPresent(refused -> state.output().send(vm, refused));
  }

  /**
   * Sends an outstanding grant again when its VM offers the ticket once more. Guards against a
   * grant lost with its connection, which shows as a request that waits for ever while its slot
   * stays taken. It is the same grant, and the VM dispatches a request once at most. If the
   * upstream has left meanwhile, the grant is asked back instead. It isn't just forgotten here: it
   * may still arrive, and a request that runs must not be granted again or refused.
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
