package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.UpstreamAccount;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Decides whether a ticket waits a little for the engine that holds its prefix, when that engine is
 * expected to be free sooner than another could process the prompt again.
 */
final class PrefixHold {

  /** Fewest tokens that must be saved; below, the wait costs more than it can bring. */
  private static final int MIN_SAVED_TOKENS = 1_024;

  private final SchedulerSettings settings;
  private final FinishTime finish;

  PrefixHold(SchedulerSettings settings, FinishTime finish) {
    this.settings = settings;
    this.finish = finish;
  }

  /** Returns whether the ticket of a search is better held than placed now. */
  boolean holds(PlacementSearch search, List<UpstreamAccount> holders) {
    if (!settings.has(PolicyPart.PREFIX_HOLD) || !search.isFound()) {
      return false;
    }
    for (UpstreamAccount holder : holders) {
      if (isWorthWaiting(search, holder)) {
        return true;
      }
    }
    return false;
  }

  private boolean isWorthWaiting(PlacementSearch search, UpstreamAccount holder) {
    long nowNs = search.nowNs();
    if (!holder.isServing(nowNs) || holder.state() == SpeedState.PROBED || holder.hasSlot(nowNs)) {
      return false;
    }
    TrackedTicket ticket = search.ticket();
    int cached = holder.cachedTokens(ticket);
    int saved = cached - search.bestCached();
    if (saved < MIN_SAVED_TOKENS) {
      return false;
    }
    double waitMs = holder.spanMs() / Math.max(1, holder.inFlightCount());
    double costMs = waitMs + finish.costMs(ticket, holder, cached);
    return costMs < search.bestCostMs() && isWithinLimit(ticket, holder, saved, nowNs);
  }

  private boolean isWithinLimit(
      TrackedTicket ticket, UpstreamAccount holder, int saved, long nowNs) {
    double limitMs = Math.min(settings.longestHoldMs(), finish.prefillMs(holder, saved));
    long heldNs = nowNs - ticket.heldSinceNs(nowNs);
    return Nanos.toMs(heldNs) < limitMs;
  }
}
