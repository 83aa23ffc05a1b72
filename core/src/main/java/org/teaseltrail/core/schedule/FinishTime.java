package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.UpstreamAccount;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Estimates when an upstream would finish a ticket. */
final class FinishTime {

  private static final double US_PER_MS = 1_000;

  private final double prefillPrice;

  FinishTime(double prefillPrice) {
    this.prefillPrice = prefillPrice;
  }

  /**
   * Returns the cost of a ticket on an upstream that starts it now: the time to finish, with the
   * ticket's own prefill counted at its price, in milliseconds.
   */
  double costMs(TrackedTicket ticket, UpstreamAccount upstream, int cachedTokens) {
    double aheadMs = upstream.prefillTokens() * upstream.prefillUs() / US_PER_MS;
    double ownMs = prefillMs(upstream, ticket.ticket().promptTokens() - cachedTokens);
    double stepMs = upstream.stepMs(upstream.inFlightCount() + 1);
    return aheadMs + ownMs + ticket.estimate().outputTokens() * stepMs;
  }

  /** Returns the price of processing prompt tokens, in milliseconds. */
  double prefillMs(UpstreamAccount upstream, int tokens) {
    return prefillPrice * tokens * upstream.prefillUs() / US_PER_MS;
  }
}
