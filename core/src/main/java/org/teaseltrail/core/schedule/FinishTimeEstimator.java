package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Estimates how long an upstream would take to finish a ticket that it starts now. */
final class FinishTimeEstimator {

  /**
   * Fraction of the estimated time that is compared with the deadline. The estimate is for an
   * average answer on an engine that also processes other prompts, and many answers finish sooner.
   * With the full estimate, a request that would only just meet its deadline would never be
   * started, not even on an idle pool.
   */
  private static final double BEST_CASE_RATIO = 0.7;

  private static final double US_PER_MS = 1_000;
  private static final double NS_PER_MS = 1e6;

  private final double prefillCostFactor;

  FinishTimeEstimator(double prefillCostFactor) {
    this.prefillCostFactor = prefillCostFactor;
  }

  /**
   * Returns the cost of starting a ticket on an upstream now, in milliseconds: the estimated time
   * to finish, with the ticket's own prefill time multiplied by the prefill cost factor.
   */
  double costMs(TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens) {
    int uncached = ticket.ticket().promptTokens() - cachedTokens;
    return finishMs(ticket, upstream, 0) + prefillCostMs(upstream, uncached);
  }

  /**
   * Returns whether an upstream that starts a ticket now is expected to finish it before the
   * caller's deadline. A ticket that can't is not started, since the engine time would be spent on
   * an answer that the caller no longer waits for.
   */
  boolean canMeetDeadline(
      TrackedTicket ticket, TrackedUpstream upstream, int cachedTokens, long nowNs) {
    if (ticket.deadlineNs() == TrackedTicket.NO_DEADLINE) {
      return true;
    }
    int uncached = ticket.ticket().promptTokens() - cachedTokens;
    double bestCaseMs = BEST_CASE_RATIO * finishMs(ticket, upstream, uncached);
    return nowNs + bestCaseMs * NS_PER_MS <= ticket.deadlineNs();
  }

  private static double finishMs(TrackedTicket ticket, TrackedUpstream upstream, int uncached) {
    double prefillUs = (upstream.prefillTokens() + uncached) * upstream.prefillUs();
    double stepMs = upstream.stepMs(upstream.inFlightCount() + 1);
    return prefillUs / US_PER_MS + ticket.estimate().outputTokens() * stepMs;
  }

  /** Returns the cost of processing prompt tokens on an upstream, in milliseconds. */
  double prefillCostMs(TrackedUpstream upstream, int tokens) {
    return prefillCostFactor * tokens * upstream.prefillUs() / US_PER_MS;
  }
}
