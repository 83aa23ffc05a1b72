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
import org.teaseltrail.core.schedule.fleet.InFlight;
import org.teaseltrail.core.schedule.limit.RateLimiter;
import org.teaseltrail.core.schedule.ticket.QueuePlace;
import org.teaseltrail.core.schedule.ticket.TicketEstimate;
import org.teaseltrail.core.schedule.ticket.TicketPhase;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Takes offers: refuses what is over a limit, queues the rest. */
final class TicketIntake {

  /** Stands for every tier while tier order is off. */
  private static final Tier ONE_TIER = new Tier(1);

  /** Stands for every customer while fairness is off. */
  private static final CustomerId ONE_CUSTOMER = new CustomerId("all");

  /** Wait from which an offer counts as one told again, not as a new request of its customer. */
  private static final long RETOLD_MS = 1_000;

  /** Time by which a request goes later for each unit of its own span. */
  private static final double SHORT_FIRST = 5;

  /** Bound on that time, so that no request is overtaken for ever. */
  private static final double LONGEST_LATER_MS = 10_000;

  private static final double NS_PER_MS = 1e6;

  private final PoolState state;
  private final ReportGate gate;
  private final Refusals refusals;
  private final RateLimiter rates = new RateLimiter();
  private long offers;

  TicketIntake(PoolState state, ReportGate gate, Refusals refusals) {
    this.state = state;
    this.gate = gate;
    this.refusals = refusals;
  }

  /** Takes the configured rates, and gives up what is no longer routed here. */
  void configured(long nowNs) {
    rates.configure(state.configuration(), nowNs);
    for (TrackedTicket ticket : state.book().waiting()) {
      if (!state.isRouted(ticket.ticket())) {
        String reason = "route=" + ticket.ticket().route();
        refusals.refuseWaiting(ticket, RefusalKind.UNKNOWN_POOL, 0, reason, nowNs);
      }
    }
  }

  /** Takes an offer. */
  void offered(VmId vm, Ticket ticket, long nowNs) {
    if (state.book().hasEnded(ticket.request())) {
      resendRefusal(vm, ticket);
      return;
    }
    Optional<TrackedTicket> known = state.book().find(ticket.request());
    if (known.isPresent()) {
      resendLostGrant(known.get(), nowNs);
      return;
    }
    TrackedTicket tracked = track(vm, ticket, nowNs);
    if (!state.isRouted(ticket)) {
      refusals.refuse(tracked, RefusalKind.UNKNOWN_POOL, 0, "route=" + ticket.route(), nowNs);
      return;
    }
    OptionalLong overRateMs = overRateMs(ticket, nowNs);
    if (overRateMs.isPresent()) {
      long retryAfterMs = overRateMs.getAsLong();
      refusals.refuse(tracked, RefusalKind.RATE_LIMIT, retryAfterMs, "rate=exceeded", nowNs);
      return;
    }
    state.book().add(tracked);
    state.queue().add(tracked);
  }

  /** Makes the scheduler's own record of a ticket. */
  TrackedTicket track(VmId vm, Ticket ticket, long nowNs) {
    TicketEstimate estimate = state.estimator().estimate(ticket, nowNs);
    QueuePlace place = place(ticket, estimate, nowNs);
    return new TrackedTicket(ticket, vm, ++offers, nowNs, estimate, place);
  }

  private QueuePlace place(Ticket ticket, TicketEstimate estimate, long nowNs) {
    boolean byDeadline = state.has(PolicyPart.DEADLINE_ORDER);
    boolean fair = state.has(PolicyPart.FAIR_SHARE);
    return new QueuePlace(
        state.has(PolicyPart.TIER_ORDER) ? ticket.tier() : ONE_TIER,
        fair ? ticket.customer() : ONE_CUSTOMER,
        fair ? weightOf(ticket) : 1,
        byDeadline ? byUsefulDeadline(estimate) : nowNs);
  }

  /**
   * Orders by useful deadline, but lets short requests go before long ones: with more waiting than
   * can be served in time, as many short answers fit as one long one.
   */
  private static long byUsefulDeadline(TicketEstimate estimate) {
    double laterMs = Math.min(LONGEST_LATER_MS, SHORT_FIRST * estimate.spanMs());
    return estimate.usefulNs() + (long) (laterMs * NS_PER_MS);
  }

  private int weightOf(Ticket ticket) {
    Customer customer = state.configuration().customers().get(ticket.customer());
    return customer == null ? 1 : Math.max(1, customer.weight());
  }

  private OptionalLong overRateMs(Ticket ticket, long nowNs) {
    boolean retold = ticket.waitedMs() >= RETOLD_MS || !gate.isOpen();
    if (retold || !state.has(PolicyPart.RATE_LIMIT)) {
      return OptionalLong.empty();
    }
    return rates.tryTake(ticket.customer(), nowNs);
  }

  /**
   * Tells a VM again that a request was given up. Guards against a refusal lost with its
   * connection, which shows as a caller that never gets an answer: its VM offers the ticket again.
   */
  private void resendRefusal(VmId vm, Ticket ticket) {
    Optional<ControlMessage.Refused> refusal = state.book().refusal(ticket.request());
    refusal.ifPresent(refused -> state.out().send(vm, refused));
  }

  /**
   * Sends an outstanding grant again when its VM offers the ticket once more. Guards against a
   * grant lost with its connection, which shows as a request that waits for ever while its slot
   * stays taken. It is the same grant, and the VM dispatches a request once at most. If the
   * upstream has left meanwhile, the grant is asked back instead. It isn't just forgotten here: it
   * may still arrive, and a request that runs must not be granted again or refused.
   */
  private void resendLostGrant(TrackedTicket known, long nowNs) {
    Optional<InFlight> part = state.fleet().find(known.request());
    if (known.phase() == TicketPhase.GRANTED && part.isPresent() && !part.get().isConfirmed()) {
      part.get().offeredAgain(nowNs);
      sendOrRecall(part.get(), nowNs);
    }
  }

  private void sendOrRecall(InFlight part, long nowNs) {
    if (part.upstream().isServing(nowNs)) {
      state.out().sendGrant(part);
    } else {
      state.out().recall(part);
    }
  }
}
