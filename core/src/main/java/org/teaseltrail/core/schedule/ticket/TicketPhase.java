package org.teaseltrail.core.schedule.ticket;

/** Says how far a tracked ticket has come. */
public enum TicketPhase {
  /** It waits for an upstream. */
  WAITING,
  /** An upstream is set aside until its claim is committed. */
  CLAIMING,
  /** A grant is out; the request may have been dispatched. */
  GRANTED
}
