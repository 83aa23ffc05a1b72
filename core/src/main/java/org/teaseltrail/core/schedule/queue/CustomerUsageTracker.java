package org.teaseltrail.core.schedule.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Tracks a customer's waiting tickets in one tier and its virtual time as in weighted fair
 * queueing: the engine time that it has been served there, divided by its weight.
 */
final class CustomerUsageTracker {

  private final CustomerId customer;
  private final Map<RouteId, CustomerQueue> queues = new HashMap<>();
  private final TreeSet<TrackedTicket> byArrival = new TreeSet<>(TierQueue.BY_ARRIVAL);
  private int weight = 1;
  private double virtualUs;
  private double waitingUs;

  CustomerUsageTracker(CustomerId customer) {
    this.customer = customer;
  }

  CustomerId customer() {
    return customer;
  }

  double virtualUs() {
    return virtualUs;
  }

  double waitingUs() {
    return waitingUs;
  }

  boolean hasNoneWaiting() {
    return byArrival.isEmpty();
  }

  int weight() {
    return weight;
  }

  TrackedTicket newest() {
    return byArrival.last();
  }

  CustomerQueue queue(RouteId route) {
    return queues.computeIfAbsent(route, r -> new CustomerQueue(this));
  }

  /** Returns the queues that are not empty. */
  Map<RouteId, CustomerQueue> queues() {
    return queues;
  }

  void add(TrackedTicket ticket) {
    weight = ticket.queuePosition().weight();
    byArrival.add(ticket);
    waitingUs += ticket.estimate().engineUs();
  }

  void remove(TrackedTicket ticket) {
    byArrival.remove(ticket);
    waitingUs = byArrival.isEmpty() ? 0 : waitingUs - ticket.estimate().engineUs();
  }

  /**
   * Advances the virtual time of an idle customer to the system's, so that it can't accumulate
   * credit for time that it did not use.
   */
  void catchUp(double systemVirtualUs) {
    virtualUs = Math.max(virtualUs, systemVirtualUs);
  }

  /** Adds served engine time; a negative value refunds time that was not used. */
  void addServedTime(double engineUs) {
    virtualUs += engineUs / weight;
  }
}
