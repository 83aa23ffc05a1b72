package org.teaseltrail.core.schedule;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.schedule.queue.TierQueue;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Refuses requests: each gets its final answer at once, with a time after which to retry. */
final class RefusalHandler {

  private static final long MIN_RETRY_AFTER_MS = 200;
  private static final long MAX_RETRY_AFTER_MS = 60_000;

  private final PoolState state;

  RefusalHandler(PoolState state) {
    this.state = state;
  }

  /** Removes a waiting ticket from the queue and refuses it. */
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
    state.ticketRegistry().refuse(refused, nowNs);
    state.output().refuse(ticket, refused, reason);
  }

  /** Returns the time in which the ticket's tier is expected to drain, within fixed bounds. */
  long retryAfterMs(TrackedTicket ticket) {
    TierQueue tier = state.queue().tierQueueOf(ticket);
    double drainMs = tier.waitingUs() / state.drainUsPerMs(tier);
    return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
  }
}
