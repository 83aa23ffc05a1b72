package org.teaseltrail.core.schedule;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.schedule.queue.TierQueue;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Gives requests up: each gets its final answer at once, with when to come back. */
final class Refusals {

  private static final long LEAST_RETRY_MS = 200;
  private static final long LONGEST_RETRY_MS = 60_000;

  private final PoolState state;

  Refusals(PoolState state) {
    this.state = state;
  }

  /** Refuses a ticket that waits. */
  void refuseWaiting(
      TrackedTicket ticket, RefusalKind kind, long retryAfterMs, String reason, long nowNs) {
    state.queue().remove(ticket);
    refuse(ticket, kind, retryAfterMs, reason, nowNs);
  }

  /** Refuses a ticket that is not in the queue. */
  void refuse(
      TrackedTicket ticket, RefusalKind kind, long retryAfterMs, String reason, long nowNs) {
    ControlMessage.Refused refused =
        new ControlMessage.Refused(ticket.request(), kind, retryAfterMs);
    state.book().refuse(refused, nowNs);
    state.out().refuse(ticket, refused, reason);
  }

  /** Returns when what waits in a ticket's tier will have drained, at the measured rate. */
  long retryAfterMs(TrackedTicket ticket) {
    TierQueue tier = state.queue().tierOf(ticket);
    double drainMs = tier.waitingUs() / state.drainUsPerMs(tier);
    return (long) Math.min(LONGEST_RETRY_MS, Math.max(LEAST_RETRY_MS, drainMs));
  }
}
