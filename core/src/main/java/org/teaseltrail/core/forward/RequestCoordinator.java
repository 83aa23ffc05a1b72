package org.teaseltrail.core.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.relay.PeerDirectory;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.SlotUsage;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Drives admitted requests through their life cycle: dispatches them, queues them while there is no
 * free slot, retries them where that is allowed, and ends each with exactly one answer.
 */
final class RequestCoordinator {

  /** Number of failed connections after which a request is relayed if a peer can take it. */
  private static final int MAX_FAILED_CONNECTIONS = 2;

  /** Time without an answer after which a request is moved if all upstreams are silent. */
  private static final long MAX_UNANSWERED_NS = 800_000_000L;

  private final RequestDispatcher dispatcher;
  private final ConditionEstimator conditions;
  private final UpstreamTracker upstreams;
  private final QuarantineTracker quarantine;
  private final LossVerifier losses;
  private final ReadmissionProber readmissions;
  private final PausedRequests paused;
  private final VersionRouter versionRouter;
  private final Consumer<ForwardAction> actions;
  private final RetryPolicy retryPolicy;
  private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();
  private final DeadlineQueue deadlines = new DeadlineQueue();
  private final BackoffMonitor backoffMonitor;
  private final SlotGrantTracker slots;
  private final RequestQueues lines;
  private final ForecastAdmission forecasts;
  private final UpstreamPaths paths;
  private final RelayCoordinator relays;
  private final RejectionLimitTracker rejectionLimits;
  private final DrainProgress drain;
  private long changes;

  RequestCoordinator(
      ForwardSettings settings,
      LoadBalancingPolicy placement,
      ConditionEstimator conditions,
      UpstreamTracker upstreams,
      SlotGrantTracker slots,
      QuarantineTracker quarantine,
      VersionRouter versionRouter,
      UpstreamPaths paths,
      PeerDirectory peers,
      RejectionLimitTracker rejectionLimits,
      Predicate<ServiceId> isEngine,
      DrainProgress drain,
      Consumer<ForwardAction> actions) {
    this.drain = drain;
    this.conditions = conditions;
    this.slots = slots;
    this.quarantine = quarantine;
    this.versionRouter = versionRouter;
    this.paths = paths;
    losses = new LossVerifier(quarantine, upstreams, paths);
    readmissions = new ReadmissionProber(upstreams, paths);
    paused = new PausedRequests(quarantine);
    this.rejectionLimits = rejectionLimits;
    SlotUsageCounter places =
        new SlotUsageCounter(
            new ServiceFeature(settings.contention().slotShares(), upstreams)::appliesTo);
    lines = new RequestQueues(slots, placement, versionRouter, isEngine, places);
    retryPolicy = new RetryPolicy(settings, placement, versionRouter, quarantine);
    relays = new RelayCoordinator(settings.vm(), peers, retryPolicy, drain, actions);
    dispatcher =
        new RequestDispatcher(
            placement, conditions, versionRouter, isEngine, deadlines, places, paths, actions);
    this.upstreams = upstreams;
    backoffMonitor = new BackoffMonitor(versionRouter, upstreams);
    forecasts =
        new ForecastAdmission(
            new ServiceFeature(settings.contention().waitForecasts(), upstreams), slots);
    this.actions = actions;
  }

  /** Returns the relays of requests to peers. */
  RelayCoordinator relays() {
    return relays;
  }

  /** Sets the number of VMs that share the retry budgets. */
  void vmCount(int count) {
    retryPolicy.vmCount(count);
  }

  int openRequests() {
    return activeRequests.size();
  }

  OptionalLong nextDueNs() {
    long nextNs = Math.min(deadlines.nextDeadlineNs(), backoffMonitor.nextBackoffEndNs());
    return nextNs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(nextNs);
  }

  /**
   * Refuses a request that is quarantined, unless the leader has granted a trial for it; returns
   * whether it was refused.
   */
  boolean refuseIfQuarantined(ActiveRequest request, long nowNs) {
    boolean held =
        quarantine.isQuarantined(request, nowNs) && !quarantine.useTrialPermit(request, nowNs);
    if (held) {
      refuse(request, RefusalReason.QUARANTINED, QuarantineTracker.RETRY_AFTER_MS);
    }
    return held;
  }

  /**
   * Aborts requests that have been quarantined since they were admitted, whether they are queued
   * here, wait for a slot grant, or are at an upstream that has not started to respond. A request
   * whose response has started runs on: its outcome shows whether the quarantine is justified.
   */
  void abortQuarantined(long nowNs) {
    for (ActiveRequest request : List.copyOf(activeRequests.values())) {
      if (!request.hasResponseStarted() && quarantine.isQuarantined(request, nowNs)) {
        abort(
            request,
            RefusalReason.QUARANTINED,
            RefusalReason.BROKEN,
            QuarantineTracker.RETRY_AFTER_MS);
      }
    }
  }

  /**
   * Pauses queued requests that have become undecided, and continues those that the leader has
   * decided not to quarantine.
   */
  void applyUndecided(long nowNs) {
    for (ServiceId service : List.copyOf(lines.services())) {
      RequestQueue waiting = lines.of(service);
      for (ActiveRequest request : waiting.all()) {
        if (paused.pauseIfUndecided(request, nowNs)) {
          waiting.remove(request);
          changes++;
        }
      }
    }
    if (quarantine.hasUndecided()) {
      recallRetries(nowNs);
    }
    for (ActiveRequest request : paused.takeDecided()) {
      if (quarantine.isQuarantined(request, nowNs)) {
        abort(
            request,
            RefusalReason.QUARANTINED,
            RefusalReason.BROKEN,
            QuarantineTracker.RETRY_AFTER_MS);
      } else {
        dispatchOrQueue(request, nowNs);
      }
    }
    paused.reportCopies(activeRequests.values());
  }

  /**
   * Recalls retries of undecided requests that have lost an upstream already and are at the next
   * one: they were sent before the leader knew of the loss. One that may not be sent again ends.
   */
  private void recallRetries(long nowNs) {
    for (ActiveRequest request : List.copyOf(activeRequests.values())) {
      boolean isUnstartedRetry =
          request.currentUpstream().isPresent()
              && request.maybeRan()
              && !request.hasResponseStarted();
      if (!isUnstartedRetry || !quarantine.isUndecided(request)) {
        continue;
      }
      if (request.route().canRetry() && request.canTryAnotherUpstreamNow()) {
        cancel(request);
        request.endAttempt(AttemptOutcome.BROKEN);
        changes++;
        dispatchOrQueue(request, nowNs);
      } else {
        abort(request, RefusalReason.BROKEN, RefusalReason.BROKEN, 0);
      }
    }
  }

  /** Sends a paused request as a trial, for which the leader has just given a permit. */
  void startTrial(Fingerprint content, long nowNs) {
    paused.takeOldest(content).ifPresent(request -> dispatchOrQueue(request, nowNs));
  }

  /** Admits a request that is within its customer's quota. */
  void admit(ActiveRequest request, long nowNs) {
    activeRequests.put(request.number(), request);
    if (!request.isRetryOfPeer()) {
      retryPolicy.recordRequest(request.service(), nowNs);
    }
    dispatchOrQueue(request, nowNs);
  }

  /**
   * Admits a request only if there is spare capacity and no other request is queued for it.
   *
   * @return whether it was admitted
   */
  boolean admitToSpareCapacity(ActiveRequest request, long nowNs) {
    activeRequests.put(request.number(), request);
    boolean admitted =
        !quarantine.isUndecided(request)
            && !lines.hasQueuedAhead(request.service(), nowNs)
            && dispatcher.tryDispatchToSpareCapacity(request, nowNs);
    if (admitted) {
      retryPolicy.recordRequest(request.service(), nowNs);
    } else {
      untrack(request);
    }
    return admitted;
  }

  /** Handles the end of an attempt; ignored if the request has already ended. */
  void onAttemptEnded(long number, AttemptOutcome end, long nowNs) {
    ActiveRequest request = activeRequests.get(number);
    if (request == null || request.currentUpstream().isEmpty()) {
      return;
    }
    boolean isPathFault = isPathFault(request, end);
    boolean isSuspect = end == AttemptOutcome.BROKEN && quarantine.isSuspect(request);
    versionRouter.recordOutcome(request, end, isSuspect || isPathFault, nowNs);
    updateQuarantine(request, end, nowNs);
    UpstreamState upstream = request.currentUpstream().get();
    BackpressureState asked = upstream.backpressure();
    if (end.isAnswer()) {
      asked.recordAccepted(request.sentNs());
    }
    asked.recordEnded(request.sentNs());
    AttemptOutcome shown = isPathFault ? AttemptOutcome.WITHHELD : end;
    upstream.recordOutcome(shown, nowNs);
    readmissions.recordOutcome(upstream, shown);
    if (end == AttemptOutcome.REFUSED && rejectionLimits.isSensitive(request.service())) {
      upstream.recordRejection(nowNs);
    }
    dispatcher.releaseSlot(request);
    recordPath(request, end, nowNs);
    request.endAttempt(end);
    changes++;
    if (end == AttemptOutcome.NOT_CONNECTED && relayUnreachable(request, nowNs)) {
      dispatchQueue(request.service(), nowNs);
      return;
    }
    boolean isFinal = end == AttemptOutcome.ANSWERED || (end.isAnswer() && !drain.maySend(nowNs));
    if (!isFinal && retryPolicy.tryAcquire(request, end, nowNs)) {
      dispatchOrQueue(request, nowNs);
    } else {
      finish(request, end, nowNs);
    }
    dispatchQueue(request.service(), nowNs);
  }

  /**
   * Returns whether an attempt failed because this VM has lost its paths, so that the outcome shows
   * nothing about the upstream.
   */
  private boolean isPathFault(ActiveRequest request, AttemptOutcome end) {
    return end.isConnectionFailure() && paths.isLost(request.service());
  }

  /**
   * Relays a request to a peer after it found no connection, instead of trying one upstream after
   * the other; returns false if it may not be relayed or no peer can take it.
   */
  private boolean relayUnreachable(ActiveRequest request, long nowNs) {
    boolean isNeeded =
        paths.isLost(request.service())
            || request.failedConnections() >= MAX_FAILED_CONNECTIONS
            || !retryPolicy.hasCandidate(request);
    return isNeeded && relay(request, nowNs);
  }

  private boolean relay(ActiveRequest request, long nowNs) {
    if (!request.mayRelay() || !relays.tryStart(RelayedRequest.ofActive(request), nowNs)) {
      return false;
    }
    untrack(request);
    return true;
  }

  /**
   * Relays a request that waits for a slot, or gives it back to the peer that relayed it, if its
   * service can't be reached any more; returns whether the request is settled.
   */
  private boolean settleWithoutPath(ActiveRequest request, long nowNs) {
    if (!paths.isLost(request.service())) {
      return false;
    }
    if (request.isRelayed() && !request.maybeRan()) {
      untrack(request);
      refuse(request, RefusalReason.NO_PATH, 0);
      return true;
    }
    return relay(request, nowNs);
  }

  /** Settles the requests of a service whose paths have just been lost. */
  void onPathLost(ServiceId service, long nowNs) {
    upstreams.of(service).forEach(UpstreamState::forgetFailures);
    RequestQueue waiting = lines.of(service);
    for (ActiveRequest request : waiting.all()) {
      if (settleWithoutPath(request, nowNs)) {
        waiting.remove(request);
        changes++;
      }
    }
    moveUnanswered(nowNs);
  }

  /** Forgets failures that the lost paths may have caused. */
  void onPathRegained(ServiceId service) {
    upstreams.of(service).forEach(UpstreamState::forgetFailures);
  }

  /** Handles a round of probes that has found a path to a service. */
  void onPathVerified(ServiceId service, long startedNs, long nowNs) {
    losses.onPathVerified(service, startedNs, nowNs);
  }

  /** Handles the result of a probe. */
  void onProbeEnded(UpstreamId upstream, ProbeResult result, long nowNs) {
    losses.onProbeEnded(upstream, result, nowNs);
    readmissions.onProbeEnded(upstream, result, nowNs);
  }

  /**
   * Relays requests that may run again and are at upstreams from which nothing is heard any more;
   * without that they would wait for their connections to time out.
   */
  private void moveUnanswered(long nowNs) {
    for (ActiveRequest request : List.copyOf(activeRequests.values())) {
      boolean isUnanswered =
          request.currentUpstream().isPresent()
              && !request.hasResponseStarted()
              && nowNs - request.sentNs() >= MAX_UNANSWERED_NS
              && paths.isSilent(request.service(), nowNs);
      if (isUnanswered
          && request.mayRelay()
          && relays.hasPeer(request.service(), nowNs)
          && request.route().canRetry()
          && request.canTryAnotherUpstreamNow()
          && retryPolicy.tryAcquireRetry(request.service(), nowNs)) {
        cancel(request);
        request.endAttempt(AttemptOutcome.BROKEN);
        changes++;
        if (!relay(request, nowNs)) {
          finish(request, AttemptOutcome.BROKEN, nowNs);
        }
      }
    }
  }

  private void recordPath(ActiveRequest request, AttemptOutcome end, long nowNs) {
    UpstreamId upstream = request.currentUpstream().get().registration().id();
    if (end == AttemptOutcome.NOT_CONNECTED) {
      paths.onConnectionFailure(upstream, nowNs);
    } else if (end == AttemptOutcome.BROKEN) {
      paths.onConnectionBroken(upstream, nowNs);
    }
  }

  private void updateQuarantine(ActiveRequest request, AttemptOutcome end, long nowNs) {
    switch (end) {
      case BROKEN ->
          losses.recordLoss(
              request, request.currentUpstream().get().registration().upstreamIncarnation(), nowNs);
      case ANSWERED, FAILED_ANSWER -> losses.recordCompleted(request, nowNs);
      default -> {
        // The request didn't run there, so the outcome shows nothing about it.
      }
    }
  }

  /**
   * Records that the caller has received the first part of a streamed response.
   *
   * @return the request if its stream has begun with that
   */
  Optional<ActiveRequest> onResponseStarted(long number, long nowNs) {
    ActiveRequest request = activeRequests.get(number);
    boolean hasBegun = request != null && request.origin().isEmpty();
    if (request != null) {
      versionRouter.recordResponseStarted(request, nowNs);
      conditions.recordFirstEvent(request, nowNs);
      request
          .currentUpstream()
          .ifPresent(upstream -> upstream.backpressure().recordAccepted(request.sentNs()));
      request.markResponseStarted();
      changes++;
      deadlines.schedule(request);
      dispatchQueue(request.service(), nowNs);
    }
    return hasBegun ? Optional.of(request) : Optional.empty();
  }

  /** Records the mean time between a stream's events. */
  void recordEventInterval(long number, double elapsedMs) {
    ActiveRequest request = activeRequests.get(number);
    if (request != null) {
      versionRouter.recordEventInterval(request, elapsedMs);
    }
  }

  void onCallerDisconnected(long number, long nowNs) {
    ActiveRequest request = activeRequests.get(number);
    if (request != null) {
      versionRouter.recordCallerDisconnected(request, nowNs);
      untrack(request);
      lines.remove(request);
      paused.remove(request);
      cancel(request);
      changes++;
      dispatchQueue(request.service(), nowNs);
    }
  }

  /** Ends requests whose time is over, and dispatches queued ones. */
  void tick(long nowNs) {
    deadlines.pollUntil(nowNs).forEach(request -> onDeadline(request, nowNs));
    changes += backoffMonitor.pollBackoffEnd(nowNs) ? 1 : 0;
    upstreams.releaseRejectedSlots(nowNs);
    losses.tick(nowNs);
    readmissions.tick(nowNs);
    if (paths.hasLost()) {
      moveUnanswered(nowNs);
    }
    dispatchQueued(nowNs);
  }

  private void dispatchOrQueue(ActiveRequest request, long nowNs) {
    if (!drain.maySend(nowNs)) {
      giveUp(request);
      return;
    }
    if (settleWithoutPath(request, nowNs)) {
      return;
    }
    if (paused.pauseIfUndecided(request, nowNs)) {
      deadlines.schedule(request);
      paused.reportCopies(activeRequests.values());
      return;
    }
    if (endIfNoneCanContinue(request)) {
      return;
    }
    if (dispatcher.tryDispatchAsCanary(request, nowNs) || dispatchBegun(request, nowNs)) {
      return;
    }
    boolean queuedAhead = lines.hasQueuedAhead(request.service(), nowNs);
    if (!queuedAhead && dispatcher.tryDispatch(request, nowNs)) {
      lines.of(request.service()).served(nowNs);
      return;
    }
    if (backoffMonitor.exceedsMaxWait(request, nowNs)) {
      untrack(request);
      refuseWithoutUpstream(request, backoffMonitor.retryAfterMs(request, nowNs));
      return;
    }
    OptionalLong waitMs = forecasts.findExcessiveWait(request, nowNs);
    if (waitMs.isPresent()) {
      untrack(request);
      refuseByForecast(request, waitMs.getAsLong(), nowNs);
      return;
    }
    lines.add(request);
    changes++;
    deadlines.schedule(request);
    dispatchQueue(request.service(), nowNs);
  }

  /**
   * Ends a request whose stream no upstream can continue, so that its caller can begin anew at
   * once; returns whether it ended.
   */
  private boolean endIfNoneCanContinue(ActiveRequest request) {
    boolean canContinue = request.origin().isEmpty() || retryPolicy.hasCandidate(request);
    if (canContinue) {
      return false;
    }
    untrack(request);
    refuseUnsent(request, RefusalReason.NO_MATCHING_VERSION, QueueLengthLimiter.NO_SLOT_RETRY_MS);
    return true;
  }

  /** Dispatches a request whose stream has begun, unless rejections must be avoided. */
  private boolean dispatchBegun(ActiveRequest request, long nowNs) {
    return !rejectionLimits.isSensitive(request.service())
        && dispatcher.tryDispatchBegun(request, nowNs);
  }

  private void untrack(ActiveRequest request) {
    activeRequests.remove(request.number());
    request.close();
  }

  private void finish(ActiveRequest request, AttemptOutcome end, long nowNs) {
    untrack(request);
    if (end.isAnswer()) {
      actions.accept(new ForwardAction.Deliver(request.number()));
    } else if (request.maybeRan()) {
      refuse(request, RefusalReason.BROKEN, 0);
    } else if (request.isRelayed() && request.hasOnlyFailedConnections()) {
      refuse(request, RefusalReason.NO_PATH, 0);
    } else {
      long backoffMs = backoffMonitor.retryAfterMs(request, nowNs);
      long retryAfterMs = Math.max(backoffMs, retryAfterMs(request, backoffMs, nowNs));
      refuse(request, RefusalReason.NOT_RUN, retryAfterMs);
    }
  }

  /** Handles the expiry of a request's timer, which may have been rescheduled meanwhile. */
  private void onDeadline(ActiveRequest request, long nowNs) {
    boolean ended = activeRequests.get(request.number()) != request;
    if (ended) {
      return;
    }
    if (nowNs < request.nextDeadlineNs()) {
      deadlines.schedule(request);
      return;
    }
    if (!request.hasResponseStarted()) {
      request.currentUpstream().ifPresent(upstream -> upstream.eject(nowNs));
      versionRouter.recordTimeout(request);
    }
    abort(
        request,
        RefusalReason.WAITED_TOO_LONG,
        RefusalReason.TIMED_OUT,
        retryAfterMs(request, QueueLengthLimiter.NO_SLOT_RETRY_MS, nowNs));
  }

  /** Gives up the requests that are at no upstream, because this VM stops. */
  void giveUpUnsent() {
    for (ActiveRequest request : byNumber()) {
      if (request.currentUpstream().isEmpty()) {
        giveUp(request);
      }
    }
  }

  /** Gives up all requests, because this VM stops. */
  void giveUpAll() {
    byNumber().forEach(this::giveUp);
  }

  private List<ActiveRequest> byNumber() {
    return activeRequests.values().stream()
        .sorted(Comparator.comparingLong(ActiveRequest::number))
        .toList();
  }

  private void giveUp(ActiveRequest request) {
    RequestStage stage = request.stage();
    boolean maybeRan = untrackAndCancel(request);
    RefusalReason reason = maybeRan ? RefusalReason.GIVEN_UP : RefusalReason.ENDING;
    long retryAfterMs = maybeRan ? 0 : DrainSchedule.RETRY_AFTER_MS;
    actions.accept(ForwardAction.Refuse.of(request, reason, retryAfterMs).at(stage));
  }

  /**
   * Ends a request that is queued or at an upstream; the reason depends on whether it may have run.
   */
  private void abort(
      ActiveRequest request,
      RefusalReason notRun,
      RefusalReason maybeRan,
      long notRunRetryAfterMs) {
    if (untrackAndCancel(request)) {
      refuse(request, maybeRan, 0);
    } else {
      refuse(request, notRun, notRunRetryAfterMs);
    }
  }

  /** Takes a request out, wherever it is; returns whether it may have run. */
  private boolean untrackAndCancel(ActiveRequest request) {
    untrack(request);
    lines.remove(request);
    paused.remove(request);
    final boolean atUpstream = request.currentUpstream().isPresent();
    cancel(request);
    changes++;
    return atUpstream || request.maybeRan();
  }

  private void cancel(ActiveRequest request) {
    if (request.currentUpstream().isPresent()) {
      request.markPromptRead();
      request.currentUpstream().get().backpressure().recordEnded(request.sentNs());
      request.currentUpstream().get().cancelled();
      dispatcher.releaseSlot(request);
      actions.accept(new ForwardAction.Cancel(request.number()));
    }
  }

  /** Dispatches queued requests as far as there is capacity. */
  void dispatchQueued(long nowNs) {
    lines.services().forEach(service -> dispatchQueue(service, nowNs));
  }

  private void dispatchQueue(ServiceId service, long nowNs) {
    RequestQueue waiting = lines.of(service);
    if (!waiting.isEmpty()) {
      dispatchQueuedBegun(waiting, nowNs);
      if (lines.isLeaderAllocated(service, nowNs)) {
        waiting.demoteLate(nowNs);
        dispatchWithPermits(service, waiting, nowNs);
      } else {
        waiting.dispatchReady(request -> dispatcher.tryDispatch(request, nowNs), nowNs);
      }
      if (upstreams.mayHaveBackedOff(nowNs)) {
        refuseBackedOff(waiting, nowNs);
      }
      shed(service, waiting, nowNs);
      backoffMonitor.scheduleWakeup(service, nowNs);
    }
  }

  /** Dispatches the queued requests whose streams have begun, or ends them if none can go on. */
  private void dispatchQueuedBegun(RequestQueue waiting, long nowNs) {
    for (ActiveRequest request : waiting.begun()) {
      if (endIfNoneCanContinue(request) || dispatchBegun(request, nowNs)) {
        waiting.remove(request);
        changes++;
      }
    }
  }

  /**
   * Ends queued requests that can't be dispatched in time, because all upstreams that may serve
   * them are backed off for longer than the requests can wait.
   */
  private void refuseBackedOff(RequestQueue waiting, long nowNs) {
    for (ActiveRequest request : waiting.all()) {
      if (backoffMonitor.exceedsMaxWait(request, nowNs)) {
        waiting.remove(request);
        untrack(request);
        refuseWithoutUpstream(request, backoffMonitor.retryAfterMs(request, nowNs));
      }
    }
  }

  /**
   * Dispatches queued requests to upstreams with rate limits. The leader grants permits for these
   * upstreams instead of slots.
   */
  private void dispatchWithPermits(ServiceId service, RequestQueue waiting, long nowNs) {
    List<UpstreamState> upstreamsWithPermits = versionRouter.upstreamsWithPermits(service, nowNs);
    if (!upstreamsWithPermits.isEmpty()) {
      waiting.dispatchReady(
          request -> dispatcher.tryDispatchAmong(request, upstreamsWithPermits, nowNs), nowNs);
    }
  }

  /** Applies a forecast of the waits for a service's slots. */
  void onForecast(ServingReply.WaitForecast forecast, long nowNs) {
    RequestQueue waiting = lines.of(forecast.service());
    waiting.demoteLate(nowNs);
    if (forecasts.update(forecast, nowNs)) {
      for (ActiveRequest request : forecasts.findHopeless(forecast.service(), waiting, nowNs)) {
        waiting.remove(request);
        untrack(request);
        changes++;
        refuseByForecast(request, forecasts.waitMs(request, nowNs), nowNs);
      }
    }
  }

  /** Drops the forecasts of an earlier leadership. */
  void onNewLeadership() {
    forecasts.onNewLeadership();
  }

  private void refuseByForecast(ActiveRequest request, long waitMs, long nowNs) {
    long retryAfterMs = retryAfterMs(request, QueueLengthLimiter.NO_SLOT_RETRY_MS, nowNs);
    actions.accept(ForwardAction.Refuse.byForecast(request, waitMs, retryAfterMs));
  }

  /** Returns the retry-after that the forecast yields, or else the given one. */
  private long retryAfterMs(ActiveRequest request, long withoutForecastMs, long nowNs) {
    return forecasts.planReturn(request, nowNs).orElse(withoutForecastMs);
  }

  /**
   * Sheds requests while the queue exceeds its maximum length. A valid forecast decides instead: it
   * knows the queues of all VMs.
   */
  private void shed(ServiceId service, RequestQueue waiting, long nowNs) {
    if (forecasts.decides(service, nowNs)) {
      return;
    }
    QueueLengthLimiter limiter =
        new QueueLengthLimiter(
            waiting,
            () -> versionRouter.ownSlots(service, nowNs),
            rejectionLimits.isSensitive(service));
    Optional<ActiveRequest> excess = limiter.findExcess(nowNs);
    while (excess.isPresent()) {
      waiting.remove(excess.get());
      untrack(excess.get());
      refuseWithoutUpstream(excess.get(), limiter.retryAfterMs(nowNs));
      excess = limiter.findExcess(nowNs);
    }
  }

  private void refuseWithoutUpstream(ActiveRequest request, long retryAfterMs) {
    refuseUnsent(request, RefusalReason.NO_UPSTREAM, retryAfterMs);
  }

  /** Refuses a request that is at no upstream; one that may have run can't be said not to have. */
  private void refuseUnsent(ActiveRequest request, RefusalReason notRun, long retryAfterMs) {
    if (request.maybeRan()) {
      refuse(request, RefusalReason.BROKEN, 0);
    } else {
      refuse(request, notRun, retryAfterMs);
    }
  }

  private void refuse(ActiveRequest request, RefusalReason refusal, long retryAfterMs) {
    actions.accept(ForwardAction.Refuse.of(request, refusal, retryAfterMs));
  }

  /** Uses a slot that the leader granted. */
  void granted(ServingReply.SlotGrant grant, long nowNs) {
    changes++;
    boolean used =
        upstreams
            .find(grant.upstream())
            .map(upstream -> useGrant(grant, upstream, nowNs))
            .orElse(false);
    if (used) {
      slots.recordUsedGrant();
    } else {
      slots.markUnwanted(grant.service(), grant.upstream());
    }
  }

  private boolean useGrant(ServingReply.SlotGrant grant, UpstreamState upstream, long nowNs) {
    return lines
        .of(grant.service())
        .dispatchOne(
            grant.urgency(),
            grant.customer(),
            request -> dispatcher.tryDispatchTo(request, upstream, nowNs),
            nowNs);
  }

  /**
   * Returns a counter that grows with each change of the queues or of the requests at upstreams.
   */
  long changes() {
    return changes + dispatcher.dispatchCount();
  }

  /** Returns the slots in use for each kind of request. */
  List<SlotUsage> held() {
    return dispatcher.held();
  }

  RequestQueues lines() {
    return lines;
  }
}
