package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.schedule.fleet.InFlight;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.queue.WaitingQueue;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TicketBook;
import org.teaseltrail.core.schedule.ticket.TicketEstimator;
import org.teaseltrail.core.schedule.ticket.TicketPhase;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Schedules one pool by exact accounts of all that waits and all that is in flight. */
public final class PoolScheduler implements Scheduler {

  /** Time between ticks while something waits. */
  private static final long TICK_NS = Nanos.fromMs(100);

  private final PoolId pool;
  private final SchedulerSettings settings;
  private final WaitingQueue queue = new WaitingQueue();
  private final TicketEstimator estimator = new TicketEstimator();
  private final TicketBook book;
  private final UpstreamFleet fleet;
  private final Dispatcher dispatcher;
  private final SchedulerOutput out;
  private Configuration configuration = Configuration.empty();
  private long offers;
  private long lastNowNs;

  /**
   * Creates the scheduler of a pool, with nothing waiting and nothing in flight.
   *
   * @param pool the pool
   * @param fencing the leadership it grants under
   * @param settings its policy
   * @param seed seeds what it draws by chance
   */
  public PoolScheduler(PoolId pool, FencingNumber fencing, SchedulerSettings settings, long seed) {
    this.pool = pool;
    this.settings = settings;
    this.book = new TicketBook(Nanos.fromMs(settings.endedMemoryMs()));
    this.fleet = new UpstreamFleet(pool);
    this.dispatcher = new Dispatcher(queue, fleet, new UpstreamChooser());
    this.out = new SchedulerOutput(fencing);
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event, long nowNs) {
    lastNowNs = nowNs;
    apply(event, nowNs);
    book.expire(nowNs);
    placeAll(nowNs);
    return out.take();
  }

  @Override
  public OptionalLong nextWakeupNs() {
    return queue.count() == 0 ? OptionalLong.empty() : OptionalLong.of(lastNowNs + TICK_NS);
  }

  private void apply(SchedulerEvent event, long nowNs) {
    if (event instanceof SchedulerEvent.FromEntry from) {
      fromEntry(from.vm(), from.message(), nowNs);
    } else if (event instanceof SchedulerEvent.ConfigurationChanged changed) {
      configuration = changed.configuration();
      fleet.configure(configuration);
      refuseUnrouted(nowNs);
    } else if (event instanceof SchedulerEvent.ClaimGranted granted) {
      claimGranted(granted.request(), nowNs);
    } else if (event instanceof SchedulerEvent.ClaimDenied denied) {
      claimDenied(denied.request(), nowNs);
    } else if (event instanceof SchedulerEvent.VmLapsed lapsed) {
      vmLapsed(lapsed.vm());
    }
  }

  private void fromEntry(VmId vm, EntryMessage message, long nowNs) {
    if (message instanceof EntryMessage.Offer offer) {
      offered(vm, offer.ticket(), nowNs);
    } else if (message instanceof EntryMessage.Withdraw withdraw) {
      withdrawn(withdraw.request(), nowNs);
    } else if (message instanceof EntryMessage.Declined declined) {
      declined(declined, nowNs);
    } else if (message instanceof EntryMessage.FirstToken first) {
      fleet.find(first.request()).ifPresent(part -> fleet.started(part, nowNs));
    } else if (message instanceof EntryMessage.Progress progress) {
      fleet
          .find(progress.request())
          .ifPresent(part -> fleet.progressed(part, progress.outputTokens(), nowNs));
    } else if (message instanceof EntryMessage.Ended ended) {
      ended(ended, nowNs);
    } else if (message instanceof EntryMessage.StillRunning running) {
      stillRunning(vm, running, nowNs);
    } else if (message instanceof EntryMessage.UpstreamSeen seen) {
      fleet.announce(seen.announcement(), nowNs - Nanos.fromMs(seen.heardMs()));
    }
  }

  private void offered(VmId vm, Ticket ticket, long nowNs) {
    if (book.hasEnded(ticket.request())) {
      return;
    }
    Optional<TrackedTicket> known = book.find(ticket.request());
    if (known.isPresent()) {
      resendLostGrant(known.get());
      return;
    }
    TrackedTicket tracked =
        new TrackedTicket(ticket, vm, ++offers, nowNs, estimator.estimate(ticket, nowNs));
    book.add(tracked);
    if (!isRouted(ticket)) {
      refuse(tracked, RefusalKind.UNKNOWN_POOL, 0, "route=" + ticket.route(), nowNs);
      return;
    }
    queue.add(tracked, weightOf(ticket));
  }

  /**
   * Sends an outstanding grant again when its VM offers the ticket once more. Guards against a
   * grant lost with its connection, which shows as a request that waits for ever while its slot
   * stays taken. It is the same grant, and the VM dispatches a request once at most.
   */
  private void resendLostGrant(TrackedTicket known) {
    Optional<InFlight> part = fleet.find(known.request());
    if (known.phase() == TicketPhase.GRANTED && part.isPresent() && !part.get().isConfirmed()) {
      out.sendGrant(known, part.get().upstream());
    }
  }

  private boolean isRouted(Ticket ticket) {
    Route route = configuration.routes().get(ticket.route());
    return route != null && route.pool().equals(pool);
  }

  private int weightOf(Ticket ticket) {
    Customer customer = configuration.customers().get(ticket.customer());
    return customer == null ? 1 : Math.max(1, customer.weight());
  }

  private void refuseUnrouted(long nowNs) {
    for (TrackedTicket ticket : book.waiting()) {
      if (!isRouted(ticket.ticket())) {
        queue.remove(ticket);
        String reason = "route=" + ticket.ticket().route();
        refuse(ticket, RefusalKind.UNKNOWN_POOL, 0, reason, nowNs);
      }
    }
  }

  private void refuse(
      TrackedTicket ticket, RefusalKind kind, long retryAfterMs, String reason, long nowNs) {
    book.end(ticket.request(), nowNs);
    out.refuse(ticket, kind, retryAfterMs, reason);
  }

  private void withdrawn(RequestId request, long nowNs) {
    Optional<InFlight> part = fleet.find(request);
    if (part.isPresent() && part.get().isConfirmed()) {
      return;
    }
    part.ifPresent(fleet::remove);
    Optional<TrackedTicket> known = book.find(request);
    if (known.isPresent()) {
      if (known.get().isWaiting()) {
        queue.remove(known.get());
      }
      out.releaseClaim(known.get());
    }
    book.end(request, nowNs);
  }

  private void declined(EntryMessage.Declined declined, long nowNs) {
    Optional<InFlight> found = fleet.find(declined.request());
    if (found.isEmpty() || !found.get().upstreamId().equals(declined.upstream())) {
      return;
    }
    InFlight part = found.get();
    TrackedTicket ticket = part.tracked();
    if (ticket.phase() != TicketPhase.GRANTED) {
      return;
    }
    fleet.remove(part);
    queue.charge(ticket.tier(), ticket.ticket().customer(), -ticket.estimate().engineUs());
    out.regrant(ticket, part.upstream(), "declined=" + declined.reason());
    if (declined.reason() == DeclineReason.UNKNOWN_REQUEST) {
      out.releaseClaim(ticket);
      book.end(ticket.request(), nowNs);
      return;
    }
    fleet.backOff(part.upstream(), nowNs + Nanos.fromMs(settings.declineBackoffMs()));
    waitAgain(ticket);
  }

  private void waitAgain(TrackedTicket ticket) {
    ticket.waitAgain();
    queue.add(ticket, weightOf(ticket.ticket()));
  }

  private void ended(EntryMessage.Ended ended, long nowNs) {
    Optional<InFlight> part = fleet.find(ended.request());
    part.ifPresent(fleet::remove);
    book.find(ended.request()).filter(TrackedTicket::isWaiting).ifPresent(queue::remove);
    book.end(ended.request(), nowNs);
  }

  private void stillRunning(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    Ticket ticket = running.ticket();
    if (book.hasEnded(ticket.request())) {
      return;
    }
    Optional<InFlight> part = fleet.find(ticket.request());
    if (part.isPresent() && part.get().upstreamId().equals(running.upstream())) {
      fleet.progressed(part.get(), running.outputTokens(), nowNs);
      return;
    }
    part.ifPresent(fleet::remove);
    book.find(ticket.request()).filter(TrackedTicket::isWaiting).ifPresent(queue::remove);
    adopt(vm, running, nowNs);
  }

  private void adopt(VmId vm, EntryMessage.StillRunning running, long nowNs) {
    Ticket ticket = running.ticket();
    TrackedTicket tracked =
        new TrackedTicket(ticket, vm, ++offers, nowNs, estimator.estimate(ticket, nowNs));
    tracked.granted();
    book.add(tracked);
    long dispatchedNs = nowNs - Nanos.fromMs(running.sinceDispatchMs());
    InFlight part = fleet.adopt(tracked, fleet.account(running.upstream()), dispatchedNs);
    fleet.progressed(part, running.outputTokens(), nowNs);
  }

  private void claimGranted(RequestId request, long nowNs) {
    Optional<TrackedTicket> known = book.find(request);
    if (known.isEmpty() || known.get().phase() != TicketPhase.CLAIMING) {
      return;
    }
    TrackedTicket ticket = known.get();
    InFlight part = fleet.find(request).orElseThrow();
    if (part.upstream().isServing(nowNs)) {
      sendGrant(ticket, part, "claim=committed");
      return;
    }
    fleet.remove(part);
    queue.charge(ticket.tier(), ticket.ticket().customer(), -ticket.estimate().engineUs());
    out.regrant(ticket, part.upstream(), "left_during_claim=true");
    waitAgain(ticket);
  }

  private void claimDenied(RequestId request, long nowNs) {
    Optional<TrackedTicket> known = book.find(request);
    if (known.isEmpty() || known.get().phase() != TicketPhase.CLAIMING) {
      return;
    }
    TrackedTicket ticket = known.get();
    fleet.find(request).ifPresent(fleet::remove);
    queue.charge(ticket.tier(), ticket.ticket().customer(), -ticket.estimate().engineUs());
    book.end(request, nowNs);
  }

  private void vmLapsed(VmId vm) {
    for (TrackedTicket ticket : book.notGrantedOf(vm)) {
      fleet.find(ticket.request()).ifPresent(fleet::remove);
      if (ticket.isWaiting()) {
        queue.remove(ticket);
      }
      out.releaseClaim(ticket);
      book.forget(ticket);
    }
  }

  private void placeAll(long nowNs) {
    Optional<Placement> next = dispatcher.next(configuration, nowNs);
    while (next.isPresent()) {
      place(next.get(), nowNs);
      next = dispatcher.next(configuration, nowNs);
    }
  }

  private void place(Placement placement, long nowNs) {
    TrackedTicket ticket = placement.ticket();
    queue.remove(ticket);
    queue.charge(ticket.tier(), ticket.ticket().customer(), ticket.estimate().engineUs());
    InFlight part = fleet.grant(ticket, placement.upstream(), placement.cachedTokens(), nowNs);
    if (ticket.ticket().claim().isPresent()) {
      ticket.claiming();
      out.commitClaim(ticket, placement.upstream());
      return;
    }
    sendGrant(ticket, part, placement.reason());
  }

  private void sendGrant(TrackedTicket ticket, InFlight part, String reason) {
    Invariant.check(!book.hasEnded(ticket.request()), InvariantName.NO_GRANT_AFTER_END);
    ticket.granted();
    out.grant(ticket, part.upstream(), reason);
  }
}
