package org.teaseltrail.core.schedule.ticket;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.Ticket;

/** Is a ticket with the scheduler's own times and phase for it. */
public final class TrackedTicket {

  /** Stands for the absence of a deadline. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Stands for the absence of a hold. */
  private static final long NOT_HELD = Long.MIN_VALUE;

  private final Ticket ticket;
  private final VmId vm;
  private final long order;
  private final long arrivalNs;
  private final long deadlineNs;
  private final TicketEstimate estimate;
  private final QueuePosition queuePosition;
  private long holdStartNs = NOT_HELD;
  private UpstreamId avoided;
  private long avoidedUntilNs;
  private TicketPhase phase = TicketPhase.WAITING;

  /**
   * Creates a waiting ticket.
   *
   * @param ticket what the VM offered
   * @param vm the VM that holds the body
   * @param order grows with each offer; breaks ties
   * @param nowNs when the offer came, in monotonic nanoseconds
   * @param estimate the engine time it is expected to take
   * @param place where it stands in the queue
   */
  public TrackedTicket(
      Ticket ticket,
      VmId vm,
      long order,
      long nowNs,
      TicketEstimate estimate,
      QueuePosition place) {
    this.ticket = ticket;
    this.vm = vm;
    this.order = order;
    this.arrivalNs = nowNs - Nanos.fromMs(ticket.waitedMs());
    this.deadlineNs =
        ticket.deadlineMs() > 0 ? nowNs + Nanos.fromMs(ticket.deadlineMs()) : NO_DEADLINE;
    this.estimate = estimate;
    this.queuePosition = place;
  }

  /** Returns what the VM offered. */
  public Ticket ticket() {
    return ticket;
  }

  /** Returns the request that the ticket stands for. */
  public RequestId request() {
    return ticket.request();
  }

  /** Returns the tier that was paid for. */
  public Tier tier() {
    return ticket.tier();
  }

  /** Returns the VM that holds the body. */
  public VmId vm() {
    return vm;
  }

  /** Returns a number that grows with each offer. */
  public long order() {
    return order;
  }

  /** Returns when the request reached its VM, in monotonic nanoseconds of the scheduler. */
  public long arrivalNs() {
    return arrivalNs;
  }

  /** Returns the caller's deadline in monotonic nanoseconds, or {@link #NO_DEADLINE}. */
  public long deadlineNs() {
    return deadlineNs;
  }

  /** Returns the engine time it is expected to take. */
  public TicketEstimate estimate() {
    return estimate;
  }

  /** Returns where it stands in the queue. */
  public QueuePosition queuePosition() {
    return queuePosition;
  }

  /** Returns since when it is held for the engine that has its prefix; now if it was not. */
  public long holdStartNs(long nowNs) {
    if (holdStartNs == NOT_HELD) {
      holdStartNs = nowNs;
    }
    return holdStartNs;
  }

  /** Returns the tokens it may come to hold on an engine. */
  public long footprintTokens() {
    return (long) ticket.promptTokens() + ticket.expectedOutputTokens();
  }

  /** Returns how far the ticket has come. */
  public TicketPhase phase() {
    return phase;
  }

  /** Returns whether it waits for an upstream. */
  public boolean isWaiting() {
    return phase == TicketPhase.WAITING;
  }

  /** Returns whether the ticket keeps away from an upstream for now. */
  public boolean isAvoiding(UpstreamId upstream, long nowNs) {
    return avoided != null && nowNs < avoidedUntilNs && avoided.equals(upstream);
  }

  /** Keeps the ticket away from an upstream until a time, in monotonic nanoseconds. */
  public void avoid(UpstreamId upstream, long untilNs) {
    avoided = upstream;
    avoidedUntilNs = untilNs;
  }

  /** Notes that an upstream is set aside until the claim is committed. */
  public void markClaiming() {
    Invariant.check(phase == TicketPhase.WAITING, InvariantName.ONE_GRANT_PER_TICKET);
    phase = TicketPhase.CLAIMING;
  }

  /** Notes that the grant goes out. */
  public void granted() {
    Invariant.check(phase != TicketPhase.GRANTED, InvariantName.ONE_GRANT_PER_TICKET);
    phase = TicketPhase.GRANTED;
  }

  /** Notes that the grant was given back, so that the ticket waits again. */
  public void markWaiting() {
    phase = TicketPhase.WAITING;
  }
}
