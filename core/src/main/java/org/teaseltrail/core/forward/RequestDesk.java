package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Looks after the requests that were admitted: places them, lets them wait, repeats them where that
 * is allowed, and ends each with one answer.
 */
final class RequestDesk {

  private final Placer placer;
  private final UpstreamBook upstreams;
  private final Quarantine quarantine;
  private final VersionGate gate;
  private final Consumer<ForwardAction> out;
  private final Repeats repeats;
  private final Map<Long, TrackedForward> tracked = new HashMap<>();
  private final DueRequests due = new DueRequests();
  private final BackoffWatch backoffs;
  private final SlotTies slots;
  private final WaitingLines lines;
  private long changes;

  RequestDesk(
      ForwardSettings settings,
      PlacementRule placement,
      UpstreamBook upstreams,
      SlotTies slots,
      Quarantine quarantine,
      VersionGate gate,
      Predicate<ServiceId> isEngine,
      Consumer<ForwardAction> out) {
    this.slots = slots;
    this.quarantine = quarantine;
    this.gate = gate;
    lines = new WaitingLines(slots, placement, gate, isEngine);
    repeats = new Repeats(settings, placement, gate, quarantine);
    placer = new Placer(placement, gate, isEngine, due, out);
    this.upstreams = upstreams;
    backoffs = new BackoffWatch(gate, upstreams);
    this.out = out;
  }

  /** Takes how many VMs share the budgets of repeats. */
  void vmCount(int count) {
    repeats.vmCount(count);
  }

  int open() {
    return tracked.size();
  }

  OptionalLong nextDueNs() {
    long nextNs = Math.min(due.nextNs(), backoffs.nextEndNs());
    return nextNs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(nextNs);
  }

  /** Refuses a request that upstreams must not get; returns whether it is one. */
  boolean refuseHeld(TrackedForward request, long nowNs) {
    boolean held = quarantine.stops(request, nowNs) && !quarantine.takeTrial(request, nowNs);
    if (held) {
      refuse(request, Refusal.QUARANTINED, Quarantine.RETRY_MS);
    }
    return held;
  }

  /**
   * Gives up what upstreams must not get any longer, whether it waits here, for a grant or at an
   * upstream that has not begun to answer. What already answers shows by its end whether the hold
   * is right.
   */
  void giveUpHeld(long nowNs) {
    for (TrackedForward request : List.copyOf(tracked.values())) {
      if (!request.hasBegun() && quarantine.stops(request, nowNs)) {
        giveUp(request, Refusal.QUARANTINED, Refusal.BROKEN, Quarantine.RETRY_MS);
      }
    }
  }

  /** Takes a request that is owed a place. */
  void admit(TrackedForward request, long nowNs) {
    tracked.put(request.number(), request);
    repeats.requested(request.service(), nowNs);
    placeOrWait(request, nowNs);
  }

  /**
   * Takes a request only if there is room that nobody waits for.
   *
   * @return whether it was taken
   */
  boolean admitToFreeRoom(TrackedForward request, long nowNs) {
    tracked.put(request.number(), request);
    boolean taken =
        !lines.hasOthersFirst(request.service(), nowNs) && placer.placeInFreeRoom(request, nowNs);
    if (taken) {
      repeats.requested(request.service(), nowNs);
    } else {
      forget(request);
    }
    return taken;
  }

  /** Takes the end of an attempt; one of a request that is over already changes nothing. */
  void attemptEnded(long number, AttemptEnd end, long nowNs) {
    TrackedForward request = tracked.get(number);
    if (request == null || request.at().isEmpty()) {
      return;
    }
    gate.ended(request, end, end == AttemptEnd.BROKEN && quarantine.suspects(request), nowNs);
    noteForQuarantine(request, end, nowNs);
    Backpressure asked = request.at().get().backpressure();
    if (end.isAnswer()) {
      asked.took(request.sentNs());
    }
    asked.over(request.sentNs());
    request.at().get().ended(end, nowNs);
    placer.freed(request);
    request.attemptEnded(end);
    changes++;
    if (end != AttemptEnd.ANSWERED && repeats.take(request, end, nowNs)) {
      placeOrWait(request, nowNs);
    } else {
      finish(request, end, nowNs);
    }
    serveLine(request.service(), nowNs);
  }

  private void noteForQuarantine(TrackedForward request, AttemptEnd end, long nowNs) {
    switch (end) {
      case BROKEN -> quarantine.lost(request, request.at().get().registration().upstreamIncarnation(), nowNs);
      case ANSWERED, FAILED_ANSWER -> quarantine.servedWhole(request, nowNs);
      default -> {
        // It didn't run there, so it tells nothing.
      }
    }
  }

  /** Notes that the caller has got the first part of a stream. */
  void begun(long number, long nowNs) {
    TrackedForward request = tracked.get(number);
    if (request != null) {
      gate.begun(request, nowNs);
      request.at().ifPresent(view -> view.backpressure().took(request.sentNs()));
      request.begin();
      changes++;
      due.schedule(request);
      serveLine(request.service(), nowNs);
    }
  }

  /** Notes a stream's mean time between events. */
  void streamPace(long number, double elapsedMs) {
    TrackedForward request = tracked.get(number);
    if (request != null) {
      gate.pause(request, elapsedMs);
    }
  }

  void callerLeft(long number, long nowNs) {
    TrackedForward request = tracked.get(number);
    if (request != null) {
      gate.callerLeft(request, nowNs);
      forget(request);
      lines.remove(request);
      cancel(request);
      changes++;
      serveLine(request.service(), nowNs);
    }
  }

  /** Ends what is out of time. */
  void tick(long nowNs) {
    due.takeUntil(nowNs).forEach(request -> due(request, nowNs));
    changes += backoffs.takeEnd(nowNs) ? 1 : 0;
    serveLines(nowNs);
  }

  private void placeOrWait(TrackedForward request, long nowNs) {
    if (placer.placeAsCanary(request, nowNs)) {
      return;
    }
    boolean othersFirst = lines.hasOthersFirst(request.service(), nowNs);
    if (!othersFirst && placer.place(request, nowNs)) {
      lines.of(request.service()).served(nowNs);
      return;
    }
    if (backoffs.outlast(request, nowNs)) {
      forget(request);
      endWithout(request, backoffs.retryAfterMs(request, nowNs));
      return;
    }
    lines.add(request);
    changes++;
    due.schedule(request);
    serveLine(request.service(), nowNs);
  }

  private void forget(TrackedForward request) {
    tracked.remove(request.number());
    request.over();
  }

  private void finish(TrackedForward request, AttemptEnd end, long nowNs) {
    forget(request);
    if (end.isAnswer()) {
      out.accept(new ForwardAction.Deliver(request.number()));
    } else if (request.maybeRan()) {
      refuse(request, Refusal.BROKEN, 0);
    } else {
      refuse(request, Refusal.NOT_RUN, backoffs.retryAfterMs(request, nowNs));
    }
  }

  /** Looks after a request whose time may have come. */
  private void due(TrackedForward request, long nowNs) {
    boolean over = tracked.get(request.number()) != request;
    if (over) {
      return;
    }
    if (nowNs < request.wakeNs()) {
      due.schedule(request);
      return;
    }
    if (!request.hasBegun()) {
      request.at().ifPresent(view -> view.avoid(nowNs));
      gate.timedOut(request);
    }
    giveUp(request, Refusal.WAITED_TOO_LONG, Refusal.TIMED_OUT, LineBound.PLACE_RETRY_MS);
  }

  /** Ends a request wherever it is, by whether it may have run. */
  private void giveUp(
      TrackedForward request, Refusal notRun, Refusal maybeRan, long notRunRetryMs) {
    forget(request);
    lines.remove(request);
    final boolean atUpstream = request.at().isPresent();
    cancel(request);
    changes++;
    if (atUpstream || request.maybeRan()) {
      refuse(request, maybeRan, 0);
    } else {
      refuse(request, notRun, notRunRetryMs);
    }
  }

  private void cancel(TrackedForward request) {
    if (request.at().isPresent()) {
      request.promptRead();
      request.at().get().backpressure().over(request.sentNs());
      request.at().get().cancelled();
      placer.freed(request);
      out.accept(new ForwardAction.Cancel(request.number()));
    }
  }

  /** Places what waits, as far as there is room. */
  void serveLines(long nowNs) {
    lines.services().forEach(service -> serveLine(service, nowNs));
  }

  private void serveLine(ServiceId service, long nowNs) {
    WaitingLine waiting = lines.of(service);
    if (!waiting.isEmpty()) {
      if (lines.isArbitrated(service, nowNs)) {
        waiting.moveLate(nowNs);
        servePermitted(service, waiting, nowNs);
      } else {
        waiting.serve(request -> placer.place(request, nowNs), nowNs);
      }
      if (upstreams.mayBeBackedOff(nowNs)) {
        giveUpBeforeBackoffEnds(waiting, nowNs);
      }
      shed(service, waiting, nowNs);
      backoffs.watch(service, nowNs);
    }
  }

  /**
   * Gives up what would wait in vain, as all upstreams that it may go to want nothing for longer.
   */
  private void giveUpBeforeBackoffEnds(WaitingLine waiting, long nowNs) {
    for (TrackedForward request : waiting.all()) {
      if (backoffs.outlast(request, nowNs)) {
        waiting.remove(request);
        forget(request);
        endWithout(request, backoffs.retryAfterMs(request, nowNs));
      }
    }
  }

  /** Places what waits at upstreams with limits: the leader gives permits for them, not places. */
  private void servePermitted(ServiceId service, WaitingLine waiting, long nowNs) {
    List<UpstreamView> permitted = gate.permitted(service, nowNs);
    if (!permitted.isEmpty()) {
      waiting.serve(request -> placer.placeAmong(request, permitted, nowNs), nowNs);
    }
  }

  /** Gives up what the line is too long for. */
  private void shed(ServiceId service, WaitingLine waiting, long nowNs) {
    LineBound bound = new LineBound(waiting, () -> gate.ownPlaces(service, nowNs));
    Optional<TrackedForward> excess = bound.excess(nowNs);
    while (excess.isPresent()) {
      waiting.remove(excess.get());
      forget(excess.get());
      endWithout(excess.get(), bound.retryAfterMs(nowNs));
      excess = bound.excess(nowNs);
    }
  }

  private void endWithout(TrackedForward request, long retryAfterMs) {
    if (request.maybeRan()) {
      refuse(request, Refusal.BROKEN, 0);
    } else {
      refuse(request, Refusal.NO_UPSTREAM, retryAfterMs);
    }
  }

  private void refuse(TrackedForward request, Refusal refusal, long retryAfterMs) {
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

  private boolean use(ServingReply.SlotGrant grant, UpstreamView view, long nowNs) {
    return lines
        .of(grant.service())
        .serveOne(grant.urgency(), request -> placer.placeAt(request, view, nowNs), nowNs);
  }

  /** Returns a number that grows with each change of the lines or of what is at upstreams. */
  long changes() {
    return changes + placer.dispatches();
  }

  /** Tells which kinds of requests hold the places that are in use. */
  List<SlotUsage> held() {
    return placer.held();
  }

  WaitingLines lines() {
    return lines;
  }
}
