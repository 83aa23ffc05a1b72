package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Estimates when an upstream would finish a ticket. */
final class FinishTimeEstimator {

  /**
   * Part of the estimate in which a ticket may well be done: it holds for an average answer amid
   * prompts. With the whole estimate, a request whose length makes it a close call would never be
   * tried, not even on an idle pool.
   */
  private static final double BEST_CASE_RATIO = 0.7;

  private static final double US_PER_MS = 1_000;
  private static final double NS_PER_MS = 1e6;

  private final double prefillCostFactor;

  FinishTimeEstimator(double prefillPrice) {
    this.prefillCostFactor = prefillPrice;
  }

  /**
   * Returns the cost of a ticket on an upstream that starts it now: the time to finish, with the
   * ticket's own prefill counted at its price, in milliseconds.
   */
  double costMs(TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens) {
    int uncached = ticket.ticket().promptTokens() - cachedTokens;
    return finishMs(ticket, upstream, 0) + prefillCostMs(upstream, uncached);
  }

  /**
   * Returns whether an upstream that starts a ticket now is expected to finish it before the
   * caller's deadline. Guards against engine time spent on an answer that no one waits for.
   */
  boolean canMeetDeadline(
      TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens, long nowNs) {
    if (ticket.deadlineNs() == TrackedTicket.NO_DEADLINE) {
      return true;
    }
    int uncached = ticket.ticket().promptTokens() - cachedTokens;
    double luckyMs = BEST_CASE_RATIO * finishMs(ticket, upstream, uncached);
    return nowNs + luckyMs * NS_PER_MS <= ticket.deadlineNs();
  }

  private static double finishMs(TrackedTicket ticket, TrackedUpstream upstream, int uncached) {
    double prefillUs = (upstream.prefillTokens() + uncached) * upstream.prefillUs();
    double stepMs = upstream.stepMs(upstream.inFlightCount() + 1);
    return prefillUs / US_PER_MS + ticket.estimate().outputTokens() * stepMs;
  }

  /** Returns the price of processing prompt tokens, in milliseconds. */
  double prefillCostMs(TrackedUpstream upstream, int tokens) {
    return prefillCostFactor * tokens * upstream.prefillUs() / US_PER_MS;
  }
}
