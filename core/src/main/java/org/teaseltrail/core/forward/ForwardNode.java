package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanIndex;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quarantine.RepeatedLoss;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.relay.PathListener;
import org.teaseltrail.core.relay.PeerDirectory;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * State machine of an entry VM that forwards requests: it admits each request, dispatches it to an
 * upstream, retries it where that is allowed, and ends it with exactly one answer. It does no I/O:
 * callers pass in events and carry out the returned actions, and it holds no body, socket or clock.
 *
 * <p>All times come from a monotonic clock that keeps counting while the VM is suspended.
 */
public final class ForwardNode {

  private final ControlClient controlClient;
  private final UpstreamTracker upstreams = new UpstreamTracker();
  private final SlotGrantTracker slots = new SlotGrantTracker();
  private final DealtSlotFilter dealtSlots;
  private final RateLimitClient limits;
  private final BackpressureHandler backpressure;
  private final ConditionEstimator conditions;
  private final QuarantineTracker quarantine;
  private final VersionRouter versionRouter;
  private final LocalQuotaTracker quotas;
  private final RequestCoordinator requests;
  private final QuotaAdmissionFilter quotaFilter;
  private final AdmissionController admission;
  private final LeaderReporter reports;
  private final UpstreamPaths paths;
  private final PeerDirectory peers;
  private final PeerAnnouncer announcer;
  private final BegunStreamAnnouncer begunStreams;
  private final StreamOriginClient origins;
  private final RegistryNewsQueue registryNews;
  private final RejectionLimitTracker rejectionLimits;
  private final DrainProgress drain = new DrainProgress();
  private List<ForwardAction> actions = new ArrayList<>();

  /**
   * Creates an entry VM that has no plan yet.
   *
   * @param settings the VM's settings
   */
  public ForwardNode(ForwardSettings settings) {
    final RandomGenerator random = new SplittableRandom(settings.seed());
    controlClient = new ControlClient(settings);
    quarantine =
        new QuarantineTracker(settings.vm(), controlClient::hasLeader, RepeatedLoss.SAME_LOSS);
    rejectionLimits = new RejectionLimitTracker(settings.vm());
    limits = new RateLimitClient(settings.vm(), upstreams);
    backpressure = new BackpressureHandler(upstreams, limits, rejectionLimits);
    versionRouter = new VersionRouter(settings.vm(), settings.incarnation(), upstreams);
    dealtSlots = new DealtSlotFilter(settings.contention(), upstreams, slots);
    conditions = new ConditionEstimator(settings.contention().upstreamConditions(), upstreams);
    paths =
        new UpstreamPaths(
            settings.relay().address().isPresent(),
            upstreams,
            service ->
                rejectionLimits.isSensitive(service) ? Optional.empty() : healthPath(service),
            new SplittableRandom(settings.seed()).split(),
            action -> actions.add(action));
    peers =
        new PeerDirectory(
            settings.relay().dataCenter(), new SplittableRandom(settings.seed()).split());
    announcer = new PeerAnnouncer(settings.vm(), settings.incarnation(), settings.relay());
    requests =
        new RequestCoordinator(
            settings,
            new LoadBalancingPolicy(random, dealtSlots, conditions, rejectionLimits),
            conditions,
            upstreams,
            slots,
            quarantine,
            versionRouter,
            paths,
            peers,
            rejectionLimits,
            service -> isEngine(service) || rejectionLimits.isSensitive(service),
            drain,
            action -> actions.add(action));
    quotas = new LocalQuotaTracker(settings.quotas(), settings.sessionLifetimeMs());
    quotaFilter =
        new QuotaAdmissionFilter(
            quotas,
            requests,
            controlClient,
            new ServiceFeature(settings.contention().waitForecasts(), upstreams),
            action -> actions.add(action));
    begunStreams = new BegunStreamAnnouncer(controlClient, action -> actions.add(action));
    origins = new StreamOriginClient(controlClient, begunStreams, action -> actions.add(action));
    registryNews = new RegistryNewsQueue(controlClient, upstreams);
    admission =
        new AdmissionController(
            random,
            controlClient,
            quotaFilter,
            paths,
            requests.relays(),
            origins,
            registryNews,
            action -> actions.add(action));
    reports =
        new LeaderReporter(
            controlClient,
            upstreams,
            slots,
            dealtSlots,
            requests,
            quarantine,
            versionRouter,
            limits,
            conditions,
            paths,
            announcer,
            rejectionLimits,
            action -> actions.add(action));
    paths.addListener(new PathChangeHandler());
  }

  /**
   * Starts the VM: requests connections to the seeds.
   *
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> start() {
    actions.add(new ForwardAction.ConnectToMembers(controlClient.members()));
    return drain();
  }

  /**
   * Replaces the seeds, which are contacted once no known control member answers.
   *
   * @param seeds the VMs of control members
   */
  public void seeds(List<VmId> seeds) {
    controlClient.seeds(seeds);
  }

  /**
   * Begins a planned stop: from certain times on, requests are refused, requests that wait are
   * given up, and at last those at upstreams, so that each gets its answer before the process ends.
   *
   * @param schedule the times of the stop
   * @param signalNs when the termination signal came, in nanoseconds
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> beginDrain(DrainSchedule schedule, long signalNs, long nowNs) {
    drain.begin(schedule, signalNs);
    return tick(nowNs);
  }

  /**
   * Handles a request that has been read completely.
   *
   * @param request the request
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onRequest(ForwardRequest request, long nowNs) {
    if (!drain.mayTake(nowNs)) {
      refuse(request.number(), RefusalReason.ENDING, DrainSchedule.RETRY_AFTER_MS);
      return collectActions(nowNs);
    }
    admission.onRequest(request, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Handles a request that a peer has relayed to this VM.
   *
   * @param request the request
   * @param hop what the peer has told of it
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onRelayedRequest(ForwardRequest request, RelayHop hop, long nowNs) {
    if (!drain.mayTake(nowNs)) {
      refuse(request.number(), RefusalReason.ENDING, DrainSchedule.RETRY_AFTER_MS);
      return collectActions(nowNs);
    }
    admission.onRelayedRequest(request, hop, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Records what began the stream of a relayed request, so that another peer can continue it.
   *
   * @param number the request's number
   * @param origin what the peer has told
   */
  public void onRelayOrigin(long number, StreamOrigin origin) {
    requests.relays().onOrigin(number, origin);
  }

  /**
   * Handles the end of a relay to a peer.
   *
   * @param number the request's number
   * @param outcome how the relay ended
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onRelayEnded(long number, RelayOutcome outcome, long nowNs) {
    requests.relays().onEnded(number, outcome, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Handles the end of an attempt at an upstream.
   *
   * @param number the request's number
   * @param end the outcome of the attempt
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onAttemptEnded(long number, AttemptOutcome end, long nowNs) {
    requests.onAttemptEnded(number, end, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Records that the caller has received the first part of a streamed response.
   *
   * @param number the request's number
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onResponseStarted(long number, long nowNs) {
    requests
        .onResponseStarted(number, nowNs)
        .ifPresent(begun -> begunStreams.recordBegun(begun, nowNs));
    return collectActions(nowNs);
  }

  /**
   * Records the load that an upstream reported with a response.
   *
   * @param upstream the upstream
   * @param requests requests that run or are queued at the upstream
   * @param nowNs current time, in nanoseconds
   */
  public void onLoadReport(UpstreamId upstream, int requests, long nowNs) {
    upstreams.recordLoad(upstream, requests, nowNs);
  }

  /**
   * Records how long work takes at an upstream at present, as it reported with a response.
   *
   * @param upstream the incarnation that the request was sent to
   * @param percent the time, in percent of the usual one; ignored if it isn't plausible
   * @param nowNs current time, in nanoseconds
   */
  public void onWorkTimeReport(UpstreamIncarnation upstream, int percent, long nowNs) {
    conditions.recordWorkTime(upstream, percent, nowNs);
  }

  /**
   * Records that bytes of a response arrived from an upstream.
   *
   * @param upstream the upstream
   */
  public void onUpstreamHeard(UpstreamId upstream) {
    paths.onHeard(upstream);
  }

  /**
   * Records that a new connection to an upstream was established.
   *
   * @param upstream the upstream
   * @param nowNs current time, in nanoseconds
   */
  public void onUpstreamConnected(UpstreamId upstream, long nowNs) {
    paths.onConnected(upstream, nowNs);
  }

  /**
   * Handles an established connection to an upstream that ended without an orderly close.
   *
   * @param upstream the upstream
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onUpstreamConnectionLost(UpstreamId upstream, long nowNs) {
    paths.onConnectionBroken(upstream, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Handles the result of a probe.
   *
   * @param upstream the upstream that was probed
   * @param result the result
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onProbeEnded(UpstreamId upstream, ProbeResult result, long nowNs) {
    requests.onProbeEnded(upstream, result, nowNs);
    paths.onProbeEnded(upstream, result, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Returns the services of which this VM reaches no upstream.
   *
   * @return the services
   */
  public List<ServiceId> servicesWithoutPath() {
    return paths.lostServices();
  }

  /**
   * Returns the handler of the backpressure signals in upstreams' responses.
   *
   * @return the handler
   */
  public BackpressureHandler backpressure() {
    return backpressure;
  }

  /**
   * Records the time that an upstream took for one part of a response: one event of a stream, or
   * the whole response of a plain HTTP service.
   *
   * @param upstream the upstream
   * @param elapsedMs the time, in milliseconds
   * @param nowNs current time, in nanoseconds
   */
  public void recordEventLatency(UpstreamId upstream, double elapsedMs, long nowNs) {
    upstreams.recordEventLatency(upstream, elapsedMs, nowNs);
    conditions.recordEventLatency(upstream, elapsedMs, nowNs);
  }

  /**
   * Records the mean time between the events of a stream that is about to end.
   *
   * @param number the request's number
   * @param elapsedMs the time, in milliseconds
   */
  public void recordEventInterval(long number, double elapsedMs) {
    requests.recordEventInterval(number, elapsedMs);
  }

  /**
   * Handles a caller that disconnected: its request is dropped, and cancelled if it is at an
   * upstream.
   *
   * @param number the request's number
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onCallerDisconnected(long number, long nowNs) {
    admission.onCallerDisconnected(number);
    origins.onCallerDisconnected(number);
    registryNews.onCallerDisconnected(number);
    quotaFilter.onCallerDisconnected(number);
    requests.relays().onCallerDisconnected(number);
    requests.onCallerDisconnected(number, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Handles a new connection to a control member, which may have started again or missed messages.
   *
   * @param member the member
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onMemberConnected(VmId member, long nowNs) {
    begunStreams.tellAgain(member);
    origins.onMemberConnected(member, nowNs);
    return collectActions(nowNs);
  }

  /**
   * Handles a message from a control member.
   *
   * @param reply the message
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> onControlMessage(ServingReply reply, long nowNs) {
    if (reply instanceof ServingReply.Confirmed confirmed) {
      onConfirmed(confirmed, nowNs);
    } else if (reply instanceof ServingReply.NotLeading other) {
      controlClient.session().notLeading(other);
      updateMembers(other);
    } else if (reply instanceof ServingReply.OriginAnswers answers) {
      origins.onAnswers(answers, nowNs);
    } else if (reply instanceof ServingReply.Contention contention) {
      if (controlClient.session().isCurrentLeadership(contention.fencing())) {
        slots.contended(contention.fencing(), contention.services(), nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.SlotGrant grant) {
      if (controlClient.session().isCurrentLeadership(grant.fencing())) {
        slots.granted(grant.fencing(), grant.sequence(), nowNs);
        requests.granted(grant, nowNs);
      }
    } else if (reply instanceof ServingReply.WaitForecast forecast) {
      if (controlClient.session().isCurrentLeadership(forecast.fencing())) {
        requests.onForecast(forecast, nowNs);
      }
    } else if (reply instanceof ServingReply.PlanUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        apply(update.plan(), nowNs);
      }
    } else if (reply instanceof ServingReply.RegistryUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        upstreams.update(update.revision(), update.present());
        registryNews.releaseSettled(nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.RolloutUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        versionRouter.applyUpdate(update);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.CanaryLoans loans) {
      if (controlClient.session().isCurrentLeadership(loans.fencing())) {
        versionRouter.lent(loans);
      }
    } else if (reply instanceof ServingReply.LimitUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        limits.applyUpdate(update, nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.SendPermits permits) {
      if (controlClient.session().isCurrentLeadership(permits.fencing())) {
        limits.applyPermits(permits);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.QuarantineUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        quarantine.applyUpdate(update, nowNs);
        requests.abortQuarantined(nowNs);
        requests.applyUndecided(nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.Trial trial) {
      if (controlClient.session().isCurrentLeadership(trial.fencing())) {
        quarantine.addTrialPermit(trial, nowNs);
        requests.startTrial(trial.request(), nowNs);
      }
    } else if (reply instanceof ServingReply.ConditionUpdate update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        conditions.applyUpdate(update, nowNs);
      }
    } else if (reply instanceof ServingReply.RejectionLimits update) {
      if (controlClient.session().isCurrentLeadership(update.fencing())) {
        rejectionLimits.applyUpdate(update.fencing(), update.services(), nowNs);
        requests.dispatchQueued(nowNs);
      }
    } else if (reply instanceof ServingReply.Peers named) {
      if (controlClient.session().isCurrentLeadership(named.fencing())) {
        peers.update(named.peers());
        announcer.onAnswer(named.sequence());
      }
    }
    return collectActions(nowNs);
  }

  /**
   * Handles all timers that have expired and sends the syncs that are due.
   *
   * @param nowNs current time, in nanoseconds
   * @return the actions to carry out, in this order
   */
  public List<ForwardAction> tick(long nowNs) {
    drain.pollEntered(nowNs).forEach(this::enter);
    boolean searchesLeader = !controlClient.hasLeader(nowNs);
    List<ForwardAction> syncs = controlClient.dueSyncs(this, nowNs);
    if (searchesLeader) {
      reportRejectionLimitsBefore(syncs);
    }
    actions.addAll(syncs);
    if (!syncs.isEmpty()) {
      reports.reportWithSync(nowNs);
    }
    if (controlClient.addSeedsWithoutSession(nowNs)) {
      actions.add(new ForwardAction.ConnectToMembers(controlClient.members()));
    }
    admission.tick(nowNs);
    begunStreams.tick(nowNs);
    origins.tick(nowNs);
    registryNews.releaseSettled(nowNs);
    quotaFilter.tick(nowNs);
    paths.tick(nowNs);
    requests.relays().tick(nowNs);
    requests.tick(nowNs);
    return collectActions(nowNs);
  }

  private void enter(DrainPhase phase) {
    switch (phase) {
      case REFUSING -> actions.add(new ForwardAction.StopAccepting());
      case NOT_SENDING -> giveUpUnsent();
      case GIVING_UP -> {
        giveUpUnsent();
        requests.giveUpAll();
        requests.relays().giveUpAll();
      }
      default -> {
        // Requests are served as before.
      }
    }
  }

  private void refuseAtStop(long number) {
    actions.add(
        ForwardAction.Refuse.beforeRouting(
                number, RefusalReason.ENDING, DrainSchedule.RETRY_AFTER_MS)
            .at(RequestStage.WAITING_FOR_ORIGIN));
  }

  private void giveUpUnsent() {
    admission.giveUp();
    origins.giveUp();
    registryNews.takeAll().forEach(this::refuseAtStop);
    quotaFilter.giveUp();
    requests.giveUpUnsent();
  }

  /**
   * Returns when {@link #tick} must be called next.
   *
   * @return the time, in nanoseconds
   */
  public long nextWakeupNs() {
    return LongStream.of(
            controlClient.nextSyncNs(),
            requests.nextDueNs().orElse(Long.MAX_VALUE),
            requests.relays().nextDueNs().orElse(Long.MAX_VALUE),
            quotaFilter.nextDueNs().orElse(Long.MAX_VALUE),
            admission.nextDueNs().orElse(Long.MAX_VALUE),
            begunStreams.nextDueNs().orElse(Long.MAX_VALUE),
            origins.nextDueNs().orElse(Long.MAX_VALUE),
            registryNews.nextDueNs().orElse(Long.MAX_VALUE),
            drain.nextDueNs().orElse(Long.MAX_VALUE))
        .min()
        .getAsLong();
  }

  /**
   * Returns whether load balancers may send requests to this VM.
   *
   * @param nowNs current time, in nanoseconds
   * @return true while the plan is confirmed to be the newest
   */
  public boolean isReady(long nowNs) {
    return admission.plan().isPresent() && controlClient.session().isValid(nowNs);
  }

  /**
   * Returns the plan that this VM applies.
   *
   * @return the plan, empty until one has been received
   */
  public Optional<ServingPlan> plan() {
    return admission.plan().map(PlanIndex::plan);
  }

  /**
   * Returns the number of requests without a final answer.
   *
   * @return queued requests and requests at upstreams
   */
  public int openRequests() {
    return requests.openRequests()
        + requests.relays().openRequests()
        + quotaFilter.waiting()
        + admission.waiting()
        + origins.waiting()
        + registryNews.waiting();
  }

  /**
   * Returns how this VM uses the slots that the leader dealt to it.
   *
   * @return the counts
   */
  public DealtSlotUsage dealtSlotUsage() {
    return new DealtSlotUsage(
        dealtSlots.dealtSlots(), dealtSlots.usedSlots(), slots.usedGrantCount());
  }

  long planVersion() {
    return admission.plan().map(held -> held.plan().version()).orElse(-1L);
  }

  long registryRevision() {
    return upstreams.revision();
  }

  long quarantineRevision() {
    return quarantine.revision(controlClient.session().newestFencing());
  }

  long rolloutRevision() {
    return versionRouter.revision();
  }

  Map<UpstreamId, Integer> inFlight() {
    return upstreams.inFlight();
  }

  List<QuotaReport> quotaReports(long sequence, long nowNs) {
    quotaFilter.recordSync(sequence);
    return quotas.uses(sequence, controlClient.session().isValid(nowNs), nowNs);
  }

  private void reportRejectionLimitsBefore(List<ForwardAction> syncs) {
    Optional<ServingMessage> report = rejectionLimits.createFullReport();
    for (ForwardAction action : syncs) {
      if (report.isPresent() && action instanceof ForwardAction.SendControl sync) {
        actions.add(new ForwardAction.SendControl(sync.member(), report.get()));
      }
    }
  }

  private void onConfirmed(ServingReply.Confirmed confirmed, long nowNs) {
    FencingNumber before = controlClient.session().newestFencing();
    if (!controlClient.session().confirmed(confirmed, nowNs)) {
      return;
    }
    if (!confirmed.fencing().equals(before)) {
      requests.onNewLeadership();
    }
    quarantine.setLeaderKnowsParts(confirmed.mixedServices().isPresent());
    begunStreams.setLeaderOld(confirmed.mixedServices().isEmpty());
    quarantine.scheduleResend(!confirmed.fencing().equals(before), nowNs);
    updateMembers(confirmed);
    requests.vmCount(confirmed.vmCount());
    upstreams.updateSlots(confirmed.places(), confirmed.registryRevision(), nowNs);
    slots.contended(confirmed.fencing(), confirmed.contended(), nowNs);
    quotaFilter.onConfirmed(confirmed, nowNs);
    admission.retryWaiting(nowNs);
    registryNews.releaseSettled(nowNs);
    requests.dispatchQueued(nowNs);
  }

  private void updateMembers(ServingReply reply) {
    if (controlClient.updateMembers(reply)) {
      actions.add(new ForwardAction.ConnectToMembers(controlClient.members()));
    }
  }

  private void apply(ServingPlan newer, long nowNs) {
    if (newer.version() <= planVersion()) {
      return;
    }
    quotas.configure(newer);
    admission.configure(new PlanIndex(newer));
    controlClient.session().recordPlanVersion(newer.version());
    admission.retryWaiting(nowNs);
  }

  private Optional<String> healthPath(ServiceId service) {
    return admission.plan().flatMap(held -> held.service(service)).flatMap(PlanService::healthPath);
  }

  private boolean isEngine(ServiceId service) {
    return admission
        .plan()
        .flatMap(held -> held.service(service))
        .map(PlanService::engine)
        .orElse(false);
  }

  private void refuse(long number, RefusalReason refusal, long retryAfterMs) {
    actions.add(ForwardAction.Refuse.beforeRouting(number, refusal, retryAfterMs));
  }

  /**
   * Returns the pending actions, after adding reports to the leader about changes of the queues.
   */
  private List<ForwardAction> collectActions(long nowNs) {
    if (requests.lines().hasWaiting()) {
      controlClient.syncForSlots();
    }
    reports.reportChanges(nowNs);
    return drain();
  }

  private List<ForwardAction> drain() {
    List<ForwardAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  /** Settles the requests that a change of the paths concerns, and announces it to the leader. */
  private final class PathChangeHandler implements PathListener {

    @Override
    public void onPathLost(ServiceId service, long nowNs) {
      controlClient.syncSoon();
      requests.onPathLost(service, nowNs);
    }

    @Override
    public void onPathRegained(ServiceId service, long nowNs) {
      controlClient.syncSoon();
      requests.onPathRegained(service);
    }

    @Override
    public void onPathVerified(ServiceId service, long startedNs, long nowNs) {
      requests.onPathVerified(service, startedNs, nowNs);
    }
  }
}
