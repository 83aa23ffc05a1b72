package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Searches the upstream with the least cost for one ticket. */
final class PlacementSearch {

  private final TrackedTicket ticket;
  private final TrackedUpstream reserved;
  private final FinishTimeEstimator finishTimes;
  private final long nowNs;
  private TrackedUpstream best;
  private double bestCostMs = Double.MAX_VALUE;
  private int bestCachedTokens;
  private TrackedUpstream fullUpstream;
  private double fullUpstreamCostMs = Double.MAX_VALUE;

  PlacementSearch(
      TrackedTicket ticket, TrackedUpstream reserved, FinishTimeEstimator finish, long nowNs) {
    this.ticket = ticket;
    this.reserved = reserved;
    this.finishTimes = finish;
    this.nowNs = nowNs;
  }

  /**
   * Weighs an upstream that may be granted work.
   *
   * @param upstream the upstream
   * @param askCache whether to ask what it has cached; otherwise nothing is taken to be
   */
  void consider(TrackedUpstream upstream, boolean askCache) {
    if (!hasUsableSlot(upstream)) {
      return;
    }
    int cached = askCache ? upstream.cachedTokens(ticket) : 0;
    double costMs = finishTimes.costMs(ticket, upstream, cached);
    if (!finishTimes.canMeetDeadline(ticket, upstream, cached, nowNs)) {
      return;
    }
    if (!upstream.fitsWindow(ticket.footprintTokens())) {
      considerFull(upstream, costMs);
    } else if (!upstream.fitsPrefill(ticket.ticket().promptTokens() - cached)) {
      return;
    } else if (costMs < bestCostMs) {
      best = upstream;
      bestCostMs = costMs;
      bestCachedTokens = cached;
    }
  }

  private void considerFull(TrackedUpstream upstream, double costMs) {
    if (costMs < fullUpstreamCostMs) {
      fullUpstream = upstream;
      fullUpstreamCostMs = costMs;
    }
  }

  /** Returns whether an upstream has a slot that this ticket may take. */
  boolean hasUsableSlot(TrackedUpstream upstream) {
    return upstream != reserved
        && upstream.state() != SpeedState.PROBED
        && upstream.hasFreeSlot(nowNs)
        && !ticket.isAvoiding(upstream.id(), nowNs);
  }

  /** Returns whether the ticket's tokens fit what room an upstream has. */
  boolean fits(TrackedUpstream upstream, int cachedTokens) {
    return upstream.fitsWindow(ticket.footprintTokens())
        && upstream.fitsPrefill(ticket.ticket().promptTokens() - cachedTokens);
  }

  /** Returns whether an upstream could start the ticket now. */
  boolean canStartNow(TrackedUpstream upstream, int cachedTokens) {
    return hasUsableSlot(upstream) && fits(upstream, cachedTokens);
  }

  TrackedTicket ticket() {
    return ticket;
  }

  long nowNs() {
    return nowNs;
  }

  boolean isFound() {
    return best != null;
  }

  double bestCostMs() {
    return bestCostMs;
  }

  int bestCachedTokens() {
    return bestCachedTokens;
  }

  PlacementResult result() {
    if (best == null) {
      return fullUpstream == null ? PlacementResult.NONE : PlacementResult.drain(fullUpstream);
    }
    String reason =
        "cost_ms="
            + Math.round(bestCostMs)
            + " cached="
            + bestCachedTokens
            + " in_flight="
            + best.inFlightCount();
    return PlacementResult.of(new Placement(ticket, best, bestCachedTokens, reason));
  }
}
