package org.teaseltrail.core.schedule.queue;

import java.util.Comparator;
import java.util.TreeSet;
import org.teaseltrail.core.id.RouteId;

/**
 * The queue of one route in one tier: its customers with waiting tickets, ordered by virtual time,
 * lowest first.
 */
public final class RouteQueue {

  private static final Comparator<CustomerQueue> BY_VIRTUAL_TIME =
      Comparator.<CustomerQueue>comparingDouble(q -> q.account().virtualUs())
          .thenComparing(q -> q.account().customer().value());

  private final RouteId route;
  private final TreeSet<CustomerQueue> customers = new TreeSet<>(BY_VIRTUAL_TIME);

  RouteQueue(RouteId route) {
    this.route = route;
  }

  /** Returns the route of all its tickets. */
  public RouteId route() {
    return route;
  }

  /** Returns whether no ticket waits. */
  public boolean isEmpty() {
    return customers.isEmpty();
  }

  /** Returns an iteration over the tickets in the order in which they are to be served. */
  public ServiceOrderIterator serviceOrder() {
    return new ServiceOrderIterator(customers);
  }

  void add(CustomerQueue queue) {
    customers.add(queue);
  }

  void remove(CustomerQueue queue) {
    customers.remove(queue);
  }
}
