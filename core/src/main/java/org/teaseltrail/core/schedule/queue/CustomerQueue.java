package org.teaseltrail.core.schedule.queue;

import java.util.Comparator;
import java.util.TreeSet;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** The queue of one customer's tickets in one tier and route, ordered by their queue position. */
final class CustomerQueue {

  private static final Comparator<TrackedTicket> BY_PLACE =
      Comparator.<TrackedTicket>comparingLong(t -> t.queuePosition().orderNs())
          .thenComparingLong(TrackedTicket::order);

  private final CustomerUsageTracker account;
  private final TreeSet<TrackedTicket> tickets = new TreeSet<>(BY_PLACE);

  CustomerQueue(CustomerUsageTracker account) {
    this.account = account;
  }

  CustomerUsageTracker account() {
    return account;
  }

  boolean isEmpty() {
    return tickets.isEmpty();
  }

  void add(TrackedTicket ticket) {
    tickets.add(ticket);
  }

  void remove(TrackedTicket ticket) {
    tickets.remove(ticket);
  }

  TrackedTicket head() {
    return tickets.first();
  }

  Iterable<TrackedTicket> inOrder() {
    return tickets;
  }
}
