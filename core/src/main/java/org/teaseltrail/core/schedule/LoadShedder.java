package org.teaseltrail.core.schedule;

import java.util.Optional;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.schedule.queue.TierQueue;
import org.teaseltrail.core.schedule.queue.WaitingQueue;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Sheds waiting requests when waiting work exceeds its bound, lowest tier first and newest request
 * first. Running requests are never shed.
 */
final class LoadShedder {

  private final PoolState state;
  private final VmReportTracker vmReports;
  private final RefusalHandler refusals;

  LoadShedder(PoolState state, VmReportTracker vmReports, RefusalHandler refusals) {
    this.state = state;
    this.vmReports = vmReports;
    this.refusals = refusals;
  }

  /** Sheds the requests that can't be served in time, as far as the tier order allows. */
  void shed(long nowNs) {
    if (!vmReports.hasAllReports()) {
      return;
    }
    if (state.isEnabled(PolicyPart.DEADLINE_PREDICTION)) {
      shedInfeasible(nowNs);
    }
    if (state.isEnabled(PolicyPart.SHEDDING)) {
      shedOverBound(nowNs);
    }
  }

  private void shedInfeasible(long nowNs) {
    Optional<TrackedTicket> next = infeasibleInLowestTier();
    while (next.isPresent()) {
      shedOne(next.get(), RefusalKind.SHED, "cause=deadline_out_of_reach", nowNs);
      next = infeasibleInLowestTier();
    }
  }

  private Optional<TrackedTicket> infeasibleInLowestTier() {
    return state.queue().lowestTier().flatMap(TierQueue::anyInfeasible);
  }

  private void shedOverBound(long nowNs) {
    WaitingQueue queue = state.queue();
    Optional<TierQueue> lowest = queue.lowestTier();
    while (lowest.isPresent() && drainTimeMs(lowest.get()) > state.maxWaitingMs()) {
      shedNewest(lowest.get(), drainTimeMs(lowest.get()), nowNs);
      lowest = queue.lowestTier();
    }
  }

  /**
   * Returns the time in milliseconds that the waiting work takes to drain: all of it at the pool's
   * rate, or that of the lowest tier at the rate that the higher tiers leave to it, whichever is
   * longer. By the pool's rate alone, a tier that receives a tenth of the pool would wait ten times
   * as long as the configured bound.
   */
  private double drainTimeMs(TierQueue lowest) {
    double allMs = state.queue().waitingUs() / state.drainUsPerMs();
    double ownMs = lowest.waitingUs() / state.drainUsPerMs(lowest);
    return Math.max(allMs, ownMs);
  }

  private void shedNewest(TierQueue lowest, double waitMs, long nowNs) {
    String reason = "waiting_ms=" + (long) waitMs + " bound_ms=" + state.maxWaitingMs();
    Optional<TrackedTicket> aboveShare =
        state.isEnabled(PolicyPart.CUSTOMER_SHARE) ? lowest.newestAboveShare() : Optional.empty();
    if (aboveShare.isPresent()) {
      shedOne(aboveShare.get(), RefusalKind.SHARE_LIMIT, reason, nowNs);
    } else {
      shedOne(lowest.newest(), RefusalKind.SHED, reason, nowNs);
    }
  }

  private void shedOne(TrackedTicket ticket, RefusalKind kind, String reason, long nowNs) {
    checkOrder(ticket);
    long retryAfterMs = refusals.retryAfterMs(ticket);
    refusals.refuseWaiting(ticket, kind, retryAfterMs, reason, nowNs);
  }

  /** Checks that no ticket of a lower tier is kept while this one is shed. */
  private void checkOrder(TrackedTicket ticket) {
    Invariant.check(vmReports.hasAllReports(), InvariantName.NO_SHED_BEFORE_REPORTS);
    for (TierQueue tier : state.queue().tiers()) {
      boolean lowerIsKept =
          ticket.queuePosition().tier().isHigherThan(tier.tier()) && !tier.isEmpty();
      Invariant.check(!lowerIsKept, InvariantName.TIER_ORDER_AT_SHED);
    }
  }
}
