package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.UpstreamAccount;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Searches the upstream with the least cost for one ticket. */
final class PlacementSearch {

  private final TrackedTicket ticket;
  private final UpstreamAccount reserved;
  private final FinishTime finish;
  private final long nowNs;
  private UpstreamAccount best;
  private double bestCostMs = Double.MAX_VALUE;
  private int bestCached;
  private UpstreamAccount tooFull;
  private double tooFullCostMs = Double.MAX_VALUE;

  PlacementSearch(TrackedTicket ticket, UpstreamAccount reserved, FinishTime finish, long nowNs) {
    this.ticket = ticket;
    this.reserved = reserved;
    this.finish = finish;
    this.nowNs = nowNs;
  }

  /**
   * Weighs an upstream that may be granted work.
   *
   * @param upstream the upstream
   * @param askCache whether to ask what it has cached; otherwise nothing is taken to be
   */
  void consider(UpstreamAccount upstream, boolean askCache) {
    if (!canTake(upstream)) {
      return;
    }
    int cached = askCache ? upstream.cachedTokens(ticket) : 0;
    double costMs = finish.costMs(ticket, upstream, cached);
    if (!finish.isInTime(ticket, upstream, cached, nowNs)) {
      return;
    }
    if (!upstream.fitsWindow(ticket.footprintTokens())) {
      considerTooFull(upstream, costMs);
    } else if (!upstream.fitsPrefill(ticket.ticket().promptTokens() - cached)) {
      return;
    } else if (costMs < bestCostMs) {
      best = upstream;
      bestCostMs = costMs;
      bestCached = cached;
    }
  }

  private void considerTooFull(UpstreamAccount upstream, double costMs) {
    if (costMs < tooFullCostMs) {
      tooFull = upstream;
      tooFullCostMs = costMs;
    }
  }

  /** Returns whether an upstream has a slot that this ticket may take. */
  boolean canTake(UpstreamAccount upstream) {
    return upstream != reserved
        && upstream.state() != SpeedState.PROBED
        && upstream.hasSlot(nowNs)
        && !ticket.isAvoiding(upstream.id(), nowNs);
  }

  /** Returns whether the ticket's tokens fit what room an upstream has. */
  boolean fits(UpstreamAccount upstream, int cachedTokens) {
    return upstream.fitsWindow(ticket.footprintTokens())
        && upstream.fitsPrefill(ticket.ticket().promptTokens() - cachedTokens);
  }

  /** Returns whether an upstream could start the ticket now. */
  boolean couldTake(UpstreamAccount upstream, int cachedTokens) {
    return canTake(upstream) && fits(upstream, cachedTokens);
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

  int bestCached() {
    return bestCached;
  }

  Choice result() {
    if (best == null) {
      return tooFull == null ? Choice.NONE : Choice.drain(tooFull);
    }
    String reason =
        "cost_ms="
            + Math.round(bestCostMs)
            + " cached="
            + bestCached
            + " in_flight="
            + best.inFlightCount();
    return Choice.of(new Placement(ticket, best, bestCached, reason));
  }
}
