package org.teaseltrail.core.schedule.queue;

import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.NoSuchElementException;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Iterates over the tickets of a route in one tier in service order: first the head of each
 * customer's queue, customers with the lowest virtual time first, then the tickets behind the
 * heads.
 */
public final class ServiceOrderIterator implements Iterator<TrackedTicket> {

  private final Iterator<CustomerQueue> heads;
  private final Iterator<CustomerQueue> rests;
  private Iterator<TrackedTicket> rest = Collections.emptyIterator();

  ServiceOrderIterator(Collection<CustomerQueue> customers) {
    this.heads = customers.iterator();
    this.rests = customers.iterator();
  }

  @Override
  public boolean hasNext() {
    return heads.hasNext() || advanceRest();
  }

  @Override
  public TrackedTicket next() {
    if (heads.hasNext()) {
      return heads.next().head();
    }
    if (!advanceRest()) {
      throw new NoSuchElementException();
    }
    return rest.next();
  }

  private boolean advanceRest() {
    while (!rest.hasNext() && rests.hasNext()) {
      rest = rests.next().inOrder().iterator();
      rest.next();
    }
    return rest.hasNext();
  }
}
