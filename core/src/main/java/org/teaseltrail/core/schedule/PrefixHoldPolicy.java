package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Decides whether a ticket is held back for a busy engine that has its prompt prefix cached. It is
 * worth it if that engine is expected to be free sooner than another engine could process the
 * prompt again.
 */
final class PrefixHoldPolicy {

  /** Minimum number of saved prompt tokens; below it, the wait costs more than the cache saves. */
  private static final int MIN_SAVED_TOKENS = 1_024;

  /** The same for a caller with a deadline, whose ticket is held for about 100 ms at most. */
  private static final int MIN_SAVED_TOKENS_WITH_DEADLINE = 256;

  private static final double US_PER_MS = 1_000;

  private final SchedulerSettings settings;
  private final FinishTimeEstimator finishTimes;

  PrefixHoldPolicy(SchedulerSettings settings, FinishTimeEstimator finishTimes) {
    this.settings = settings;
    this.finishTimes = finishTimes;
  }

  /** Returns whether the ticket of a search should be held back instead of being placed now. */
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
    int savedTokens = cached - search.bestCachedTokens();
    if (savedTokens < minSavedTokens(ticket) || search.canStartNow(holder, cached)) {
      return false;
    }
    return isSooner(search, holder, cached) && isWithinLimit(ticket, holder, savedTokens, nowNs);
  }

  /**
   * Returns whether waiting for a holder of the prefix is better than starting elsewhere now. With
   * a deadline, the ticket must finish sooner. Without one, only engine time counts, and waiting
   * costs none because the tickets behind use the free capacity; the wait is merely limited.
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

  /**
   * Returns the expected time in milliseconds until a holder can take the ticket: until a slot is
   * free and the prompts in progress are processed.
   */
  private double waitMs(TrackedUpstream holder, long nowNs) {
    double slotMs = holder.hasFreeSlot(nowNs) ? 0 : holder.serviceTimeMs() / holder.inFlightCount();
    double prefillMs = holder.prefillTokens() * holder.prefillUs() / US_PER_MS;
    return Math.max(slotMs, prefillMs);
  }

  private static boolean hasNoDeadline(TrackedTicket ticket) {
    return ticket.estimate().latestStartNs() == TrackedTicket.NO_DEADLINE;
  }

  private boolean isWithinLimit(
      TrackedTicket ticket, TrackedUpstream holder, int savedTokens, long nowNs) {
    double limitMs =
        hasNoDeadline(ticket)
            ? settings.maxHoldMs()
            : Math.min(settings.maxHoldMs(), finishTimes.prefillCostMs(holder, savedTokens));
    long heldNs = nowNs - ticket.holdStartNs(nowNs);
    return Nanos.toMs(heldNs) < limitMs;
  }
}
