package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.SlotUsage;

/**
 * Looks after the requests that were admitted: places them, lets them wait, repeats them where that
 * is allowed, and ends each with one answer.
 */
final class RequestCoordinator {

  private final RequestDispatcher placer;
  private final UpstreamTracker upstreams;
  private final QuarantineTracker quarantine;
  private final VersionRouter gate;
  private final Consumer<ForwardAction> out;
  private final RetryPolicy repeats;
  private final Map<Long, ActiveRequest> tracked = new HashMap<>();
  private final DeadlineQueue due = new DeadlineQueue();
  private final BackoffMonitor backoffs;
  private final SlotGrantTracker slots;
  private final RequestQueues lines;
  private long changes;

  RequestCoordinator(
      ForwardSettings settings,
      LoadBalancingPolicy placement,
      UpstreamTracker upstreams,
      SlotGrantTracker slots,
      QuarantineTracker quarantine,
      VersionRouter gate,
      Predicate<ServiceId> isEngine,
      Consumer<ForwardAction> out) {
    this.slots = slots;
    this.quarantine = quarantine;
    this.gate = gate;
    lines = new RequestQueues(slots, placement, gate, isEngine);
    repeats = new RetryPolicy(settings, placement, gate, quarantine);
    placer = new RequestDispatcher(placement, gate, isEngine, due, out);
    this.upstreams = upstreams;
    backoffs = new BackoffMonitor(gate, upstreams);
    this.out = out;
  }

  /** Takes how many VMs share the budgets of repeats. */
  void vmCount(int count) {
    repeats.vmCount(count);
  }

  int openRequests() {
    return tracked.size();
  }

  OptionalLong nextDueNs() {
    long nextNs = Math.min(due.nextDeadlineNs(), backoffs.nextBackoffEndNs());
    return nextNs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(nextNs);
  }

  /** Refuses a request that upstreams must not get; returns whether it is one. */
  boolean refuseIfQuarantined(ActiveRequest request, long nowNs) {
    boolean held =
        quarantine.isQuarantined(request, nowNs) && !quarantine.useTrialPermit(request, nowNs);
    if (held) {
      refuse(request, RefusalReason.QUARANTINED, QuarantineTracker.RETRY_AFTER_MS);
    }
    return held;
  }

  /**
   * Gives up what upstreams must not get any longer, whether it waits here, for a grant or at an
   * upstream that has not begun to answer. What already answers shows by its end whether the hold
   * is right.
   */
  void abortQuarantined(long nowNs) {
    for (ActiveRequest request : List.copyOf(tracked.values())) {
      if (!request.hasResponseStarted() && quarantine.isQuarantined(request, nowNs)) {
        giveUp(
            request,
            RefusalReason.QUARANTINED,
            RefusalReason.BROKEN,
            QuarantineTracker.RETRY_AFTER_MS);
      }
    }
  }

  /** Takes a request that is owed a place. */
  void admit(ActiveRequest request, long nowNs) {
    tracked.put(request.number(), request);
    repeats.recordRequest(request.service(), nowNs);
    placeOrWait(request, nowNs);
  }

  /**
   * Takes a request only if there is room that nobody waits for.
   *
   * @return whether it was taken
   */
  boolean admitToSpareCapacity(ActiveRequest request, long nowNs) {
    tracked.put(request.number(), request);
    boolean taken =
        !lines.hasQueuedAhead(request.service(), nowNs)
            && placer.tryDispatchToSpareCapacity(request, nowNs);
    if (taken) {
      repeats.recordRequest(request.service(), nowNs);
    } else {
      forget(request);
    }
    return taken;
  }

  /** Takes the end of an attempt; one of a request that is over already changes nothing. */
  void onAttemptEnded(long number, AttemptOutcome end, long nowNs) {
    ActiveRequest request = tracked.get(number);
    if (request == null || request.currentUpstream().isEmpty()) {
      return;
    }
    gate.recordOutcome(
        request, end, end == AttemptOutcome.BROKEN && quarantine.isSuspect(request), nowNs);
    noteForQuarantine(request, end, nowNs);
    BackpressureState asked = request.currentUpstream().get().backpressure();
    if (end.isAnswer()) {
      asked.recordAccepted(request.sentNs());
    }
    asked.recordEnded(request.sentNs());
    request.currentUpstream().get().recordOutcome(end, nowNs);
    placer.releaseSlot(request);
    request.endAttempt(end);
    changes++;
    if (end != AttemptOutcome.ANSWERED && repeats.tryAcquire(request, end, nowNs)) {
      placeOrWait(request, nowNs);
    } else {
      finish(request, end, nowNs);
    }
    serveLine(request.service(), nowNs);
  }

  private void noteForQuarantine(ActiveRequest request, AttemptOutcome end, long nowNs) {
    switch (end) {
      case BROKEN ->
          quarantine.recordLoss(
              request, request.currentUpstream().get().registration().upstreamIncarnation(), nowNs);
      case ANSWERED, FAILED_ANSWER -> quarantine.recordCompleted(request, nowNs);
      default -> {
        // It didn't run there, so it tells nothing.
      }
    }
  }

  /** Notes that the caller has got the first part of a stream. */
  void onResponseStarted(long number, long nowNs) {
    ActiveRequest request = tracked.get(number);
    if (request != null) {
      gate.recordResponseStarted(request, nowNs);
      request
          .currentUpstream()
          .ifPresent(view -> view.backpressure().recordAccepted(request.sentNs()));
      request.markResponseStarted();
      changes++;
      due.schedule(request);
      serveLine(request.service(), nowNs);
    }
  }

  /** Notes a stream's mean time between events. */
  void recordEventInterval(long number, double elapsedMs) {
    ActiveRequest request = tracked.get(number);
    if (request != null) {
      gate.recordEventInterval(request, elapsedMs);
    }
  }

  void onCallerDisconnected(long number, long nowNs) {
    ActiveRequest request = tracked.get(number);
    if (request != null) {
      gate.recordCallerDisconnected(request, nowNs);
      forget(request);
      lines.remove(request);
      cancel(request);
      changes++;
      serveLine(request.service(), nowNs);
    }
  }

  /** Ends what is out of time. */
  void tick(long nowNs) {
    due.pollUntil(nowNs).forEach(request -> due(request, nowNs));
    changes += backoffs.pollBackoffEnd(nowNs) ? 1 : 0;
    dispatchQueued(nowNs);
  }

  private void placeOrWait(ActiveRequest request, long nowNs) {
    if (placer.tryDispatchAsCanary(request, nowNs)) {
      return;
    }
    boolean othersFirst = lines.hasQueuedAhead(request.service(), nowNs);
    if (!othersFirst && placer.tryDispatch(request, nowNs)) {
      lines.of(request.service()).served(nowNs);
      return;
    }
    if (backoffs.exceedsMaxWait(request, nowNs)) {
      forget(request);
      endWithout(request, backoffs.retryAfterMs(request, nowNs));
      return;
    }
    lines.add(request);
    changes++;
    due.schedule(request);
    serveLine(request.service(), nowNs);
  }

  private void forget(ActiveRequest request) {
    tracked.remove(request.number());
    request.close();
  }

  private void finish(ActiveRequest request, AttemptOutcome end, long nowNs) {
    forget(request);
    if (end.isAnswer()) {
      out.accept(new ForwardAction.Deliver(request.number()));
    } else if (request.maybeRan()) {
      refuse(request, RefusalReason.BROKEN, 0);
    } else {
      refuse(request, RefusalReason.NOT_RUN, backoffs.retryAfterMs(request, nowNs));
    }
  }

  /** Looks after a request whose time may have come. */
  private void due(ActiveRequest request, long nowNs) {
    boolean over = tracked.get(request.number()) != request;
    if (over) {
      return;
    }
    if (nowNs < request.nextDeadlineNs()) {
      due.schedule(request);
      return;
    }
    if (!request.hasResponseStarted()) {
      request.currentUpstream().ifPresent(view -> view.eject(nowNs));
      gate.recordTimeout(request);
    }
    giveUp(
        request,
        RefusalReason.WAITED_TOO_LONG,
        RefusalReason.TIMED_OUT,
        QueueLengthLimiter.NO_SLOT_RETRY_MS);
  }

  /** Ends a request wherever it is, by whether it may have run. */
  private void giveUp(
      ActiveRequest request, RefusalReason notRun, RefusalReason maybeRan, long notRunRetryMs) {
    forget(request);
    lines.remove(request);
    final boolean atUpstream = request.currentUpstream().isPresent();
    cancel(request);
    changes++;
    if (atUpstream || request.maybeRan()) {
      refuse(request, maybeRan, 0);
    } else {
      refuse(request, notRun, notRunRetryMs);
    }
  }

  private void cancel(ActiveRequest request) {
    if (request.currentUpstream().isPresent()) {
      request.markPromptRead();
      request.currentUpstream().get().backpressure().recordEnded(request.sentNs());
      request.currentUpstream().get().cancelled();
      placer.releaseSlot(request);
      out.accept(new ForwardAction.Cancel(request.number()));
    }
  }

  /** Places what waits, as far as there is room. */
  void dispatchQueued(long nowNs) {
    lines.services().forEach(service -> serveLine(service, nowNs));
  }

  private void serveLine(ServiceId service, long nowNs) {
    RequestQueue waiting = lines.of(service);
    if (!waiting.isEmpty()) {
      if (lines.isLeaderAllocated(service, nowNs)) {
        waiting.demoteLate(nowNs);
        servePermitted(service, waiting, nowNs);
      } else {
        waiting.dispatchReady(request -> placer.tryDispatch(request, nowNs), nowNs);
      }
      if (upstreams.mayHaveBackedOff(nowNs)) {
        giveUpBeforeBackoffEnds(waiting, nowNs);
      }
      shed(service, waiting, nowNs);
      backoffs.scheduleWakeup(service, nowNs);
    }
  }

  /**
   * Gives up what would wait in vain, as all upstreams that it may go to want nothing for longer.
   */
  private void giveUpBeforeBackoffEnds(RequestQueue waiting, long nowNs) {
    for (ActiveRequest request : waiting.all()) {
      if (backoffs.exceedsMaxWait(request, nowNs)) {
        waiting.remove(request);
        forget(request);
        endWithout(request, backoffs.retryAfterMs(request, nowNs));
      }
    }
  }

  /** Places what waits at upstreams with limits: the leader gives permits for them, not places. */
  private void servePermitted(ServiceId service, RequestQueue waiting, long nowNs) {
    List<UpstreamState> permitted = gate.upstreamsWithPermits(service, nowNs);
    if (!permitted.isEmpty()) {
      waiting.dispatchReady(request -> placer.tryDispatchAmong(request, permitted, nowNs), nowNs);
    }
  }

  /** Gives up what the line is too long for. */
  private void shed(ServiceId service, RequestQueue waiting, long nowNs) {
    QueueLengthLimiter bound = new QueueLengthLimiter(waiting, () -> gate.ownSlots(service, nowNs));
    Optional<ActiveRequest> excess = bound.findExcess(nowNs);
    while (excess.isPresent()) {
      waiting.remove(excess.get());
      forget(excess.get());
      endWithout(excess.get(), bound.retryAfterMs(nowNs));
      excess = bound.findExcess(nowNs);
    }
  }

  private void endWithout(ActiveRequest request, long retryAfterMs) {
    if (request.maybeRan()) {
      refuse(request, RefusalReason.BROKEN, 0);
    } else {
      refuse(request, RefusalReason.NO_UPSTREAM, retryAfterMs);
    }
  }

  private void refuse(ActiveRequest request, RefusalReason refusal, long retryAfterMs) {
    out.accept(ForwardAction.Refuse.of(request, refusal, retryAfterMs));
  }

  /** Uses a place that the leader has granted. */
  void granted(ServingReply.SlotGrant grant, long nowNs) {
    changes++;
    boolean used =
        upstreams.find(grant.upstream()).map(view -> use(grant, view, nowNs)).orElse(false);
    if (!used) {
      slots.markUnwanted(grant.service(), grant.upstream());
    }
  }

  private boolean use(ServingReply.SlotGrant grant, UpstreamState view, long nowNs) {
    return lines
        .of(grant.service())
        .dispatchOne(grant.urgency(), request -> placer.tryDispatchTo(request, view, nowNs), nowNs);
  }

  /** Returns a number that grows with each change of the lines or of what is at upstreams. */
  long changes() {
    return changes + placer.dispatchCount();
  }

  /** Tells which kinds of requests hold the places that are in use. */
  List<SlotUsage> held() {
    return placer.held();
  }

  RequestQueues lines() {
    return lines;
  }
}
