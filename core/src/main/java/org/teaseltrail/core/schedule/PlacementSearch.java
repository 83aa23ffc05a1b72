package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Searches for the upstream with the lowest cost for one ticket. */
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
      TrackedTicket ticket, TrackedUpstream reserved, FinishTimeEstimator finishTimes, long nowNs) {
    this.ticket = ticket;
    this.reserved = reserved;
    this.finishTimes = finishTimes;
    this.nowNs = nowNs;
  }

  /**
   * Compares an upstream that may be granted work with the best one so far.
   *
   * @param upstream the upstream
   * @param checkCache whether to look the prompt up in the upstream's cache model; otherwise
   *     nothing is assumed to be cached
   */
  void consider(TrackedUpstream upstream, boolean checkCache) {
    if (!hasUsableSlot(upstream)) {
      return;
    }
    int cached = checkCache ? upstream.cachedTokens(ticket) : 0;
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

  /** Returns whether an upstream has a free slot that this ticket may use. */
  boolean hasUsableSlot(TrackedUpstream upstream) {
    return upstream != reserved
        && upstream.state() != SpeedState.PROBED
        && upstream.hasFreeSlot(nowNs)
        && !ticket.isAvoiding(upstream.id(), nowNs);
  }

  /** Returns whether the ticket's tokens fit into the capacity that an upstream has left. */
  boolean fits(TrackedUpstream upstream, int cachedTokens) {
    return upstream.fitsWindow(ticket.footprintTokens())
        && upstream.fitsPrefill(ticket.ticket().promptTokens() - cachedTokens);
  }

  /**
   * Returns whether an upstream has both a usable slot and the capacity to start the ticket now.
   */
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
