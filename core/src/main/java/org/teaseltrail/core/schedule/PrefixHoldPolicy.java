package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Decides whether a ticket waits a little for the engine that holds its prefix, when that engine is
 * expected to be free sooner than another could process the prompt again.
 */
final class PrefixHoldPolicy {

  /** Fewest tokens that must be saved; below, the wait costs more than it can bring. */
  private static final int MIN_SAVED_TOKENS = 1_024;

  /** The same for a caller with a deadline, which is held for a tenth of a second or so. */
  private static final int MIN_SAVED_TOKENS_WITH_DEADLINE = 256;

  private static final double US_PER_MS = 1_000;

  private final SchedulerSettings settings;
  private final FinishTimeEstimator finishTimes;

  PrefixHoldPolicy(SchedulerSettings settings, FinishTimeEstimator finish) {
    this.settings = settings;
    this.finishTimes = finish;
  }

  /** Returns whether the ticket of a search is better held than placed now. */
  boolean shouldHold(PlacementSearch search, List<TrackedUpstream> holders) {
    if (!settings.isEnabled(PolicyPart.PREFIX_HOLD) || !search.isFound()) {
      return false;
    }
    for (TrackedUpstream holder : holders) {
      if (isWorthWaiting(search, holder)) {
        return true;
      }
    }
    return false;
  }

  private boolean isWorthWaiting(PlacementSearch search, TrackedUpstream holder) {
    long nowNs = search.nowNs();
    if (!holder.isServing(nowNs) || holder.state() == SpeedState.PROBED) {
      return false;
    }
    TrackedTicket ticket = search.ticket();
    int cached = holder.cachedTokens(ticket);
    int saved = cached - search.bestCachedTokens();
    if (saved < minSavedTokens(ticket) || search.canStartNow(holder, cached)) {
      return false;
    }
    return isSooner(search, holder, cached) && isWithinLimit(ticket, holder, saved, nowNs);
  }

  /**
   * Returns whether waiting for a holder ends sooner than starting elsewhere now. A caller that
   * told no deadline is patient: for it only the engine time counts, which waiting doesn't cost,
   * for the room is taken by the tickets behind.
   */
  private boolean isSooner(PlacementSearch search, TrackedUpstream holder, int cached) {
    TrackedTicket ticket = search.ticket();
    double waitMs = waitMs(holder, search.nowNs());
    if (hasNoDeadline(ticket)) {
      return waitMs < settings.maxHoldMs();
    }
    return waitMs + finishTimes.costMs(ticket, holder, cached) < search.bestCostMs();
  }

  private static int minSavedTokens(TrackedTicket ticket) {
    return hasNoDeadline(ticket) ? MIN_SAVED_TOKENS : MIN_SAVED_TOKENS_WITH_DEADLINE;
  }

  /** Returns the expected time until a full holder has room: a slot, or its prompts processed. */
  private double waitMs(TrackedUpstream holder, long nowNs) {
    double slotMs = holder.hasFreeSlot(nowNs) ? 0 : holder.serviceTimeMs() / holder.inFlightCount();
    double prefillMs = holder.prefillTokens() * holder.prefillUs() / US_PER_MS;
    return Math.max(slotMs, prefillMs);
  }

  private static boolean hasNoDeadline(TrackedTicket ticket) {
    return ticket.estimate().latestStartNs() == TrackedTicket.NO_DEADLINE;
  }

  private boolean isWithinLimit(
      TrackedTicket ticket, TrackedUpstream holder, int saved, long nowNs) {
    double limitMs =
        hasNoDeadline(ticket)
            ? settings.maxHoldMs()
            : Math.min(settings.maxHoldMs(), finishTimes.prefillCostMs(holder, saved));
    long heldNs = nowNs - ticket.holdStartNs(nowNs);
    return Nanos.toMs(heldNs) < limitMs;
  }
}
