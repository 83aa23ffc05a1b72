package org.teaseltrail.core.schedule.ticket;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.Ticket;

/** A ticket with the scheduler's state for it: times, estimate, queue position and phase. */
public final class TrackedTicket {

  /** The deadline of a ticket that has none. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Start time of the hold of a ticket that has not been held. */
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
   * @param ticket the ticket as the VM offered it
   * @param vm the VM that has the request body
   * @param order a number that grows with each offer, as a tie breaker
   * @param nowNs when the offer was received, in monotonic nanoseconds
   * @param estimate its estimated cost
   * @param queuePosition its position in the queue
   */
  public TrackedTicket(
      Ticket ticket,
      VmId vm,
      long order,
      long nowNs,
      TicketEstimate estimate,
      QueuePosition queuePosition) {
    this.ticket = ticket;
    this.vm = vm;
    this.order = order;
    this.arrivalNs = nowNs - Nanos.fromMs(ticket.waitedMs());
    this.deadlineNs =
        ticket.deadlineMs() > 0 ? nowNs + Nanos.fromMs(ticket.deadlineMs()) : NO_DEADLINE;
    this.estimate = estimate;
    this.queuePosition = queuePosition;
  }

  /** Returns the ticket as the VM offered it. */
  public Ticket ticket() {
    return ticket;
  }

  /** Returns the id of the ticket's request. */
  public RequestId request() {
    return ticket.request();
  }

  /** Returns the customer's tier, regardless of the policy. */
  public Tier tier() {
    return ticket.tier();
  }

  /** Returns the VM that has the request body. */
  public VmId vm() {
    return vm;
  }

  /** Returns a number that grows with each offer, as a tie breaker. */
  public long order() {
    return order;
  }

  /** Returns when the request arrived at its VM, in monotonic nanoseconds of the scheduler. */
  public long arrivalNs() {
    return arrivalNs;
  }

  /** Returns the caller's deadline in monotonic nanoseconds, or {@link #NO_DEADLINE}. */
  public long deadlineNs() {
    return deadlineNs;
  }

  /** Returns its estimated cost. */
  public TicketEstimate estimate() {
    return estimate;
  }

  /** Returns its position in the queue. */
  public QueuePosition queuePosition() {
    return queuePosition;
  }

  /**
   * Returns when the ticket was first held for an engine that has its prefix cached, in monotonic
   * nanoseconds. The first call starts the hold at the present time.
   */
  public long holdStartNs(long nowNs) {
    if (holdStartNs == NOT_HELD) {
      holdStartNs = nowNs;
    }
    return holdStartNs;
  }

  /** Returns the maximum number of tokens that the request may occupy on an engine. */
  public long footprintTokens() {
    return (long) ticket.promptTokens() + ticket.expectedOutputTokens();
  }

  /** Returns the phase of the ticket. */
  public TicketPhase phase() {
    return phase;
  }

  /** Returns whether the ticket waits for an upstream. */
  public boolean isWaiting() {
    return phase == TicketPhase.WAITING;
  }

  /** Returns whether the ticket must not be granted an upstream at present. */
  public boolean isAvoiding(UpstreamId upstream, long nowNs) {
    return avoided != null && nowNs < avoidedUntilNs && avoided.equals(upstream);
  }

  /** Excludes an upstream for the ticket until a time, in monotonic nanoseconds. */
  public void avoid(UpstreamId upstream, long untilNs) {
    avoided = upstream;
    avoidedUntilNs = untilNs;
  }

  /** Records that an upstream is reserved until the claim is committed. */
  public void markClaiming() {
    Invariant.check(phase == TicketPhase.WAITING, InvariantName.ONE_GRANT_PER_TICKET);
    phase = TicketPhase.CLAIMING;
  }

  /** Records that the grant is sent. */
  public void granted() {
    Invariant.check(phase != TicketPhase.GRANTED, InvariantName.ONE_GRANT_PER_TICKET);
    phase = TicketPhase.GRANTED;
  }

  /** Records that the grant was declined or revoked, so that the ticket waits again. */
  public void markWaiting() {
    phase = TicketPhase.WAITING;
  }
}
