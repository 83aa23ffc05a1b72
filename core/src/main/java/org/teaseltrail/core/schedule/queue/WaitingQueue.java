package org.teaseltrail.core.schedule.queue;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Is the one queue of a pool. Root of the aggregate: tickets enter, leave and are charged through
 * it only, so that its sums stay right.
 */
public final class WaitingQueue {

  private final TreeMap<Tier, TierQueue> tiers = new TreeMap<>();
  private int count;
  private double waitingUs;

  /** Returns the tiers, highest first; some may be empty. */
  public Collection<TierQueue> tiers() {
    return tiers.values();
  }

  /** Returns the lowest tier in which a ticket waits. */
  public Optional<TierQueue> lowest() {
    for (TierQueue queue : tiers.descendingMap().values()) {
      if (!queue.isEmpty()) {
        return Optional.of(queue);
      }
    }
    return Optional.empty();
  }

  /** Returns how many tickets wait. */
  public int count() {
    return count;
  }

  /** Returns the engine time of all that waits, in microseconds. */
  public double waitingUs() {
    return waitingUs;
  }

  /**
   * Adds a waiting ticket.
   *
   * @param ticket the ticket
   * @param weight its customer's weight
   */
  public void add(TrackedTicket ticket, int weight) {
    tiers.computeIfAbsent(ticket.tier(), TierQueue::new).add(ticket, weight);
    count++;
    waitingUs += ticket.estimate().engineUs();
  }

  /**
   * Takes a ticket out.
   *
   * @param ticket one that is in the queue
   */
  public void remove(TrackedTicket ticket) {
    tiers.get(ticket.tier()).remove(ticket);
    count--;
    waitingUs = count == 0 ? 0 : waitingUs - ticket.estimate().engineUs();
  }

  /**
   * Charges a customer for engine time within a tier.
   *
   * @param tier the tier
   * @param customer the customer
   * @param engineUs engine time in microseconds; negative gives back
   */
  public void charge(Tier tier, CustomerId customer, double engineUs) {
    tiers.computeIfAbsent(tier, TierQueue::new).charge(customer, engineUs);
  }
}
