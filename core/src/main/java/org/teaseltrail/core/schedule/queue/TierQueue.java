package org.teaseltrail.core.schedule.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Holds the waiting tickets of one tier. */
public final class TierQueue {

  private static final Comparator<TrackedTicket> BY_ARRIVAL =
      Comparator.comparingLong(TrackedTicket::arrivalNs).thenComparingLong(TrackedTicket::order);

  private final Tier tier;
  private final Map<CustomerId, CustomerAccount> accounts = new HashMap<>();
  private final Map<RouteId, RouteQueue> routes = new LinkedHashMap<>();
  private final TreeSet<TrackedTicket> byArrival = new TreeSet<>(BY_ARRIVAL);
  private double systemVirtualUs;

  TierQueue(Tier tier) {
    this.tier = tier;
  }

  /** Returns the tier that is waited in. */
  public Tier tier() {
    return tier;
  }

  /** Returns whether nothing waits. */
  public boolean isEmpty() {
    return byArrival.isEmpty();
  }

  /** Returns the queues by route; some may be empty. */
  public Collection<RouteQueue> routes() {
    return routes.values();
  }

  /** Returns the ticket that arrived last. */
  public TrackedTicket newest() {
    return byArrival.last();
  }

  /** Returns the waiting tickets, first arrived first. */
  public Iterable<TrackedTicket> tickets() {
    return byArrival;
  }

  void add(TrackedTicket ticket, int weight) {
    CustomerAccount account = account(ticket.ticket().customer());
    account.setWeight(weight);
    if (account.waitingCount() == 0) {
      account.catchUp(systemVirtualUs);
    }
    CustomerQueue queue = account.queue(ticket.ticket().route());
    if (queue.isEmpty()) {
      route(ticket.ticket().route()).add(queue);
    }
    queue.add(ticket);
    account.addWaiting(ticket.estimate().engineUs());
    byArrival.add(ticket);
  }

  void remove(TrackedTicket ticket) {
    CustomerAccount account = account(ticket.ticket().customer());
    CustomerQueue queue = account.queue(ticket.ticket().route());
    byArrival.remove(ticket);
    queue.remove(ticket);
    account.removeWaiting(ticket.estimate().engineUs());
    if (queue.isEmpty()) {
      route(ticket.ticket().route()).remove(queue);
      account.queues().remove(ticket.ticket().route());
    }
  }

  /** Charges a customer for engine time; negative gives back. */
  void charge(CustomerId customer, double engineUs) {
    CustomerAccount account = account(customer);
    account.queues().forEach((route, queue) -> route(route).remove(queue));
    if (engineUs > 0) {
      systemVirtualUs = Math.max(systemVirtualUs, account.virtualUs());
    }
    account.addServed(engineUs);
    account.queues().forEach((route, queue) -> route(route).add(queue));
  }

  private CustomerAccount account(CustomerId customer) {
    return accounts.computeIfAbsent(customer, CustomerAccount::new);
  }

  private RouteQueue route(RouteId route) {
    return routes.computeIfAbsent(route, RouteQueue::new);
  }
}
