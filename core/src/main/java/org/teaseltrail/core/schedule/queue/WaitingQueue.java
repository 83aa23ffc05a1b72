package org.teaseltrail.core.schedule.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.schedule.ticket.QueuePosition;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * The queue of a pool's waiting tickets. As the aggregate root, it is the only way to add, remove
 * and charge tickets, so that its sums stay consistent.
 */
public final class WaitingQueue {

  private static final Comparator<TrackedTicket> BY_DEADLINE =
      Comparator.comparingLong(TrackedTicket::deadlineNs).thenComparingLong(TrackedTicket::order);

  private final TreeMap<Tier, TierQueue> tiers = new TreeMap<>();
  private final TreeSet<TrackedTicket> byDeadline = new TreeSet<>(BY_DEADLINE);
  private int count;
  private double waitingUs;

  /** Returns the queues of the tiers, highest first; they may be empty. */
  public Collection<TierQueue> tiers() {
    return tiers.values();
  }

  /** Returns the queue of the lowest tier in which a ticket waits. */
  public Optional<TierQueue> lowestTier() {
    for (TierQueue queue : tiers.descendingMap().values()) {
      if (!queue.isEmpty()) {
        return Optional.of(queue);
      }
    }
    return Optional.empty();
  }

  /** Returns the queue of a ticket's tier. */
  public TierQueue tierQueueOf(TrackedTicket ticket) {
    return tiers.computeIfAbsent(ticket.queuePosition().tier(), TierQueue::new);
  }

  /** Returns the number of waiting tickets. */
  public int count() {
    return count;
  }

  /** Returns the estimated engine time of all waiting tickets, in microseconds. */
  public double waitingUs() {
    return waitingUs;
  }

  /** Returns the ticket with the earliest caller's deadline, if any has one. */
  public Optional<TrackedTicket> firstDeadline() {
    return byDeadline.isEmpty() ? Optional.empty() : Optional.of(byDeadline.first());
  }

  /** Adds a waiting ticket. */
  public void add(TrackedTicket ticket) {
    tierQueueOf(ticket).add(ticket);
    if (ticket.deadlineNs() != TrackedTicket.NO_DEADLINE) {
      byDeadline.add(ticket);
    }
    count++;
    waitingUs += ticket.estimate().engineUs();
  }

  /** Removes a waiting ticket. */
  public void remove(TrackedTicket ticket) {
    tierQueueOf(ticket).remove(ticket);
    byDeadline.remove(ticket);
    count--;
    waitingUs = count == 0 ? 0 : waitingUs - ticket.estimate().engineUs();
  }

  /** Charges a ticket's customer for the ticket's estimated engine time. */
  public void charge(TrackedTicket ticket) {
    QueuePosition place = ticket.queuePosition();
    tierQueueOf(ticket).charge(place.customer(), ticket.estimate().engineUs());
    tierQueueOf(ticket).drain().recordDrained(ticket.estimate().engineUs());
  }

  /** Refunds engine time to a ticket's customer. */
  public void refund(TrackedTicket ticket, double engineUs) {
    tierQueueOf(ticket).charge(ticket.queuePosition().customer(), -engineUs);
  }

  /** Takes the tickets that can't meet their deadline any more out of the service order. */
  public void setAsideInfeasible(long nowNs) {
    tiers.values().forEach(tier -> tier.setAsideInfeasible(nowNs));
  }

  /** Checks the maintained sums against the sums over the tiers. */
  public void audit() {
    int counted = tiers.values().stream().mapToInt(TierQueue::count).sum();
    double summedUs = tiers.values().stream().mapToDouble(TierQueue::waitingUs).sum();
    boolean close = Math.abs(summedUs - waitingUs) <= 1 + 1e-6 * waitingUs;
    Invariant.check(counted == count && close, InvariantName.WAITING_ACCOUNT_BALANCES);
  }
}
