package org.teaseltrail.core.schedule.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.schedule.limit.DrainRateMeter;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** The queue of one tier, with fair sharing of engine time among its customers. */
public final class TierQueue {

  static final Comparator<TrackedTicket> BY_ARRIVAL =
      Comparator.comparingLong(TrackedTicket::arrivalNs).thenComparingLong(TrackedTicket::order);

  private static final Comparator<TrackedTicket> BY_LATEST_START =
      Comparator.<TrackedTicket>comparingLong(t -> t.estimate().latestStartNs())
          .thenComparingLong(TrackedTicket::order);

  /** Multiple of its fair share above which a customer counts as over its share of waiting work. */
  private static final double SHARE_TOLERANCE = 1.25;

  private final Tier tier;
  private final Map<CustomerId, CustomerUsageTracker> accounts = new HashMap<>();
  private final Map<RouteId, RouteQueue> routes = new LinkedHashMap<>();
  private final TreeSet<TrackedTicket> byArrival = new TreeSet<>(BY_ARRIVAL);
  private final TreeSet<TrackedTicket> byLatestStart = new TreeSet<>(BY_LATEST_START);
  private final Set<TrackedTicket> infeasible = new LinkedHashSet<>();
  private final DrainRateMeter drain = new DrainRateMeter();
  private double waitingUs;
  private double systemVirtualUs;

  TierQueue(Tier tier) {
    this.tier = tier;
  }

  /** Returns the tier. */
  public Tier tier() {
    return tier;
  }

  /** Returns whether no ticket waits. */
  public boolean isEmpty() {
    return byArrival.isEmpty();
  }

  /** Returns the number of waiting tickets. */
  public int count() {
    return byArrival.size();
  }

  /** Returns the estimated engine time of all tickets in the tier, in microseconds. */
  public double waitingUs() {
    return waitingUs;
  }

  /** Returns the meter of the tier's drain rate. */
  public DrainRateMeter drain() {
    return drain;
  }

  /** Returns the queues by route; some may be empty. */
  public Collection<RouteQueue> routes() {
    return routes.values();
  }

  /** Returns the ticket that arrived last. */
  public TrackedTicket newest() {
    return byArrival.last();
  }

  /**
   * Returns the newest ticket of the customer with the most waiting work relative to its weight, or
   * empty if that customer is not above its fair share.
   */
  public Optional<TrackedTicket> newestAboveShare() {
    CustomerUsageTracker mostLoaded = null;
    double weights = 0;
    for (CustomerUsageTracker account : accounts.values()) {
      if (account.hasNoneWaiting()) {
        continue;
      }
      weights += account.weight();
      if (mostLoaded == null || load(account) > load(mostLoaded)) {
        mostLoaded = account;
      }
    }
    if (mostLoaded == null) {
      return Optional.empty();
    }
    double fairUs = waitingUs * mostLoaded.weight() / weights;
    boolean above = mostLoaded.waitingUs() > SHARE_TOLERANCE * fairUs;
    return above ? Optional.of(mostLoaded.newest()) : Optional.empty();
  }

  private static double load(CustomerUsageTracker account) {
    return account.waitingUs() / account.weight();
  }

  /**
   * Returns a ticket that can't meet its deadline any more (an infeasible one), if there is any.
   */
  public Optional<TrackedTicket> anyInfeasible() {
    return infeasible.isEmpty() ? Optional.empty() : Optional.of(infeasible.iterator().next());
  }

  /**
   * Takes the tickets that can't meet their deadline any more out of the service order. They still
   * wait, but no engine time is spent on an answer that would be too late.
   */
  void setAsideInfeasible(long nowNs) {
    while (!byLatestStart.isEmpty() && isInfeasible(byLatestStart.first(), nowNs)) {
      TrackedTicket ticket = byLatestStart.pollFirst();
      infeasible.add(ticket);
      removeFromOrder(ticket);
    }
  }

  private static boolean isInfeasible(TrackedTicket ticket, long nowNs) {
    return ticket.estimate().latestStartNs() < nowNs;
  }

  void add(TrackedTicket ticket) {
    CustomerUsageTracker account = account(ticket.queuePosition().customer());
    if (account.hasNoneWaiting()) {
      account.catchUp(systemVirtualUs);
    }
    account.add(ticket);
    byArrival.add(ticket);
    waitingUs += ticket.estimate().engineUs();
    if (ticket.estimate().latestStartNs() != TrackedTicket.NO_DEADLINE) {
      byLatestStart.add(ticket);
    }
    addToOrder(account, ticket);
  }

  private void addToOrder(CustomerUsageTracker account, TrackedTicket ticket) {
    RouteId route = ticket.ticket().route();
    CustomerQueue queue = account.queue(route);
    if (queue.isEmpty()) {
      routes.computeIfAbsent(route, RouteQueue::new).add(queue);
    }
    queue.add(ticket);
  }

  void remove(TrackedTicket ticket) {
    account(ticket.queuePosition().customer()).remove(ticket);
    byArrival.remove(ticket);
    byLatestStart.remove(ticket);
    waitingUs = byArrival.isEmpty() ? 0 : waitingUs - ticket.estimate().engineUs();
    if (!infeasible.remove(ticket)) {
      removeFromOrder(ticket);
    }
  }

  private void removeFromOrder(TrackedTicket ticket) {
    RouteId route = ticket.ticket().route();
    CustomerUsageTracker account = account(ticket.queuePosition().customer());
    CustomerQueue queue = account.queue(route);
    queue.remove(ticket);
    if (queue.isEmpty()) {
      routes.get(route).remove(queue);
      account.queues().remove(route);
    }
  }

  /** Charges a customer for engine time; a negative value is a refund. */
  void charge(CustomerId customer, double engineUs) {
    CustomerUsageTracker account = account(customer);
    account.queues().forEach((route, queue) -> routes.get(route).remove(queue));
    if (engineUs > 0) {
      systemVirtualUs = Math.max(systemVirtualUs, account.virtualUs());
    }
    account.addServedTime(engineUs);
    account.queues().forEach((route, queue) -> routes.get(route).add(queue));
  }

  private CustomerUsageTracker account(CustomerId customer) {
    return accounts.computeIfAbsent(customer, CustomerUsageTracker::new);
  }
}
