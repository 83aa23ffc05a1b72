package org.teaseltrail.core.schedule.ticket;

/** The phase of a tracked ticket. */
public enum TicketPhase {
  /** The ticket waits for an upstream. */
  WAITING,
  /** Capacity of an upstream is reserved until the ticket's claim is committed. */
  CLAIMING,
  /** A grant has been sent; the request may have been dispatched. */
  GRANTED
}
