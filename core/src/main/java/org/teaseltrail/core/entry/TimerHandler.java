package org.teaseltrail.core.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Request;

/**
 * Handles time-driven work: deadlines, resuming streams, and shedding while no scheduler is
 * reachable.
 */
final class TimerHandler {

  /** Retry-After of a request that is shed: twice the time of a leader election. */
  static final long NO_SCHEDULER_RETRY_AFTER_MS = 5_000;

  private final EntryComponents parts;
  private final RequestCloser closer;
  private final StreamHandler streams;
  private final TierSheddingPolicy timetable;

  TimerHandler(EntryComponents parts, RequestCloser closer, StreamHandler streams) {
    this.parts = parts;
    this.closer = closer;
    this.streams = streams;
    this.timetable = new TierSheddingPolicy(parts.settings);
  }

  void advance(long nowNs) {
    Optional<TimerQueue.Timer> due = parts.timers.pollDue(nowNs);
    while (due.isPresent()) {
      fire(due.get(), nowNs);
      due = parts.timers.pollDue(nowNs);
    }
    shedWaiting(nowNs);
  }

  private void fire(TimerQueue.Timer timer, long nowNs) {
    if (timer.kind() == TimerQueue.Kind.DEADLINE) {
      parts.requests.live(timer.request()).ifPresent(request -> deadline(request, nowNs));
    } else {
      parts.requests.live(timer.request(), timer.attempt()).ifPresent(streams::resume);
    }
  }

  private void deadline(Request request, long nowNs) {
    if (request.state().isDispatched()) {
      closer.cancelled(request, FailureReason.DEADLINE, nowNs);
    } else {
      closer.withdraw(request, WithdrawReason.DEADLINE, NotRunReason.DEADLINE, 0);
    }
  }

  private void shedWaiting(long nowNs) {
    if (parts.session.isSchedulerReachable(nowNs)) {
      return;
    }
    int keptRank = keptRank(nowNs);
    List<Request> rejected =
        parts.requests.waiting().stream()
            .filter(request -> rank(request) > keptRank)
            .sorted(Comparator.comparingInt(TimerHandler::rank).reversed())
            .toList();
    for (Request request : rejected) {
      closer.withdraw(
          request, WithdrawReason.GIVEN_UP, NotRunReason.NO_SCHEDULER, NO_SCHEDULER_RETRY_AFTER_MS);
      checkLowestTierFirst(request, rejected);
    }
  }

  private void checkLowestTierFirst(Request rejectedRequest, List<Request> rejected) {
    boolean lowerKept =
        parts.requests.waiting().stream()
            .anyMatch(kept -> rank(kept) > rank(rejectedRequest) && !rejected.contains(kept));
    Invariant.check(!lowerKept, InvariantName.GIVEN_UP_LOWEST_TIER_FIRST);
  }

  private static int rank(Request request) {
    return request.ticket().tier().rank();
  }

  private int keptRank(long nowNs) {
    return timetable.lowestKeptRank(
        parts.session.timeSinceLeaseNs(nowNs), parts.configuration.lowestTierRank());
  }

  OptionalLong nextWakeupNs(long nowNs) {
    OptionalLong timer = parts.timers.nextDueNs();
    if (parts.session.isSchedulerReachable(nowNs) || !parts.requests.isAnyWaiting()) {
      return timer;
    }
    long sinceNs = parts.session.timeSinceLeaseNs(nowNs);
    long stepNs = parts.session.lastLeaseNs() + timetable.nextStepNs(sinceNs);
    return OptionalLong.of(timer.isPresent() ? Math.min(timer.getAsLong(), stepNs) : stepNs);
  }
}
