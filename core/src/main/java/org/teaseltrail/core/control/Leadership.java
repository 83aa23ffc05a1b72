package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.teaseltrail.core.claim.ClaimStore;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.schedule.SchedulerAction;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.session.SessionRegistry;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;

/**
 * Is what a member holds in memory while it leads, for one term. It is built anew with each
 * leadership: entry VMs tell of what waits and runs, the log tells the rest.
 */
final class Leadership {

  private static final long RETRY_NS = 10_000_000L;

  private final LeaderContext context;
  private final FencingNumber fencing;
  private final LeaseGate gate;
  private final LogClock clock;
  private final SessionRegistry sessions;
  private final RequestTracker requests = new RequestTracker();
  private final AnnouncementCache announcements = new AnnouncementCache();
  private final PoolSchedulers schedulers;
  private final ClaimCoordinator claimCoordinator;
  private final EntryMessageHandler entryHandler;
  private final InForceTracker inForceTracker;
  private final EngineOrderDispatcher orderDispatcher;
  private final PlacementPlanner placement;
  private final ClaimExpiryTask claimExpiry;
  private final ServingCoordinator servingCoordinator;
  private final Optional<MembershipReconciler> membershipReconciler;
  private final List<Runnable> retries = new ArrayList<>();
  private boolean active = true;
  private long nowNs;

  Leadership(LeaderContext context, FencingNumber fencing, long nowNs) {
    this.context = context;
    this.fencing = fencing;
    this.nowNs = nowNs;
    ControlSettings settings = context.settings();
    gate = new LeaseGate(() -> context.stateMachine().replica().leaseHolds(this.nowNs));
    clock = new LogClock(context.stateMachine().state().logTimeMs(), nowNs);
    sessions = new SessionRegistry(settings.sessions(), nowNs);
    schedulers =
        new PoolSchedulers(context.schedulerFactory(), fencing, settings.seed(), this::carryOut);
    claimCoordinator = new ClaimCoordinator(this);
    entryHandler = new EntryMessageHandler(this);
    inForceTracker = new InForceTracker(context.actions(), sessions);
    orderDispatcher = new EngineOrderDispatcher(context.actions(), fencing);
    placement = new PlacementPlanner(settings.placement(), announcements, orderDispatcher);
    claimExpiry = new ClaimExpiryTask(this, settings);
    servingCoordinator = new ServingCoordinator(this);
    membershipReconciler =
        settings
            .repair()
            .map(
                repair ->
                    new MembershipReconciler(
                        repair, context.stateMachine(), context.self(), nowNs));
  }

  /** Begins to serve: the schedulers learn the configuration and may not shed yet. */
  void begin() {
    gate.runUnderLease(
        () -> {
          schedulers.configure(configuration(), nowNs);
          entryHandler.awaitReports();
        });
  }

  /** Ends the leadership: what is still under way for it has no effect any longer. */
  void end() {
    active = false;
    inForceTracker.end();
    orderDispatcher.end();
  }

  void advanceTo(long newNowNs) {
    nowNs = newNowNs;
    gate.drain();
  }

  /**
   * Does what is due, unless the lease does not hold; a tick brings nothing new, so none is kept.
   *
   * <p>Guards against a leader that is cut off until it steps down: its schedulers' wake-ups pass,
   * and kept ticks would pile up by the thousand.
   */
  void tick() {
    if (gate.isOpen()) {
      tickUnderLease();
    }
  }

  /** The configuration has changed by a commit. */
  void onConfigurationAccepted() {
    gate.runUnderLease(
        () -> {
          Configuration configuration = configuration();
          announcements.retain(configuration);
          sessions
              .selectPushTargets(configuration.revision(), nowNs)
              .forEach(vm -> sendConfiguration(vm));
          schedulers.configure(configuration, nowNs);
        });
  }

  void sendConfiguration(VmId vm) {
    send(vm, new ControlMessage.ConfigurationUpdate(fencing, configuration()));
  }

  /** Pushes what an outside platform has changed to the VMs that place requests themselves. */
  void onServingStateChanged() {
    gate.runUnderLease(servingCoordinator::onCommit);
  }

  void sendServing(VmId vm, ServingReply reply) {
    context.actions().sendToServingVm(vm, reply);
  }

  ServingCoordinator servingCoordinator() {
    return servingCoordinator;
  }

  Optional<MembershipReconciler> membershipReconciler() {
    return membershipReconciler;
  }

  void send(VmId vm, ControlMessage message) {
    context.actions().sendToEntryVm(vm, message);
  }

  void refuse(VmId vm, RequestId request, RefusalKind kind, long retryAfterMs) {
    requests.remove(request);
    send(vm, new ControlMessage.Refused(request, kind, retryAfterMs));
  }

  void claimExists(VmId vm, ControlMessage.ClaimExists message) {
    requests.remove(message.request());
    send(vm, message);
  }

  /**
   * Gives a request's scheduler an event.
   *
   * @return whether the request has a grant afterwards
   */
  boolean deliver(PoolId pool, RequestId request, SchedulerEvent event, long atNs) {
    schedulers.handle(pool, event, atNs);
    return requests.find(request).flatMap(TrackedRequest::upstream).isPresent();
  }

  /** Proposes a command; the callback is heard only while this leadership serves. */
  void propose(Command command, ProposalCallback callback, long atNs) {
    context.stateMachine().propose(command, new GuardedCallback(callback), atNs);
  }

  /** Proposes a command that nobody waits for and that is tried again by itself. */
  void proposeBestEffort(Command command) {
    proposeThen(command, () -> {});
  }

  /** Proposes a command that is tried again by itself, and does a step once it is committed. */
  void proposeThen(Command command, Runnable committed) {
    proposeThen(command, committed, () -> {});
  }

  /** Proposes a command, and does a step once it is committed, or another one if it can't be. */
  void proposeThen(Command command, Runnable committed, Runnable rejected) {
    ProposalCallback callback =
        new ProposalCallback() {
          @Override
          public void committed(CommandResult result, long atNs) {
            committed.run();
          }

          @Override
          public void rejected(ProposalRejection reason, long atNs) {
            rejected.run();
          }
        };
    propose(command, callback, nowNs);
  }

  /** Tries a step again a little later. */
  void retryLater(Runnable step) {
    retries.add(step);
  }

  /** Returns whether a VM may still serve, as far as this leadership can know. */
  boolean canBeAlive(VmId vm, long atNs) {
    return !sessions.havePriorSessionsExpired(atNs) || sessions.find(vm).isPresent();
  }

  /**
   * Returns when something is next due. Without the lease nothing is: a wake-up that has passed
   * would otherwise come back at once and keep the process busy until it steps down.
   */
  OptionalLong nextWakeupNs() {
    if (!gate.isOpen()) {
      return OptionalLong.empty();
    }
    OptionalLong retry =
        retries.isEmpty() ? OptionalLong.empty() : OptionalLong.of(nowNs + RETRY_NS);
    return Stream.of(
            retry,
            schedulers.nextWakeupNs(),
            sessions.nextWakeupNs(nowNs),
            inForceTracker.nextWakeupNs(),
            placement.nextWakeupNs(),
            claimExpiry.nextWakeupNs(),
            servingCoordinator.nextWakeupNs(),
            membershipReconciler
                .map(MembershipReconciler::nextWakeupNs)
                .orElse(OptionalLong.empty()))
        .flatMapToLong(OptionalLong::stream)
        .min();
  }

  LeaseGate gate() {
    return gate;
  }

  EntryMessageHandler entryHandler() {
    return entryHandler;
  }

  InForceTracker inForceTracker() {
    return inForceTracker;
  }

  EngineOrderDispatcher orderDispatcher() {
    return orderDispatcher;
  }

  ClaimCoordinator claimCoordinator() {
    return claimCoordinator;
  }

  PoolSchedulers schedulers() {
    return schedulers;
  }

  SessionRegistry sessions() {
    return sessions;
  }

  RequestTracker requests() {
    return requests;
  }

  AnnouncementCache announcements() {
    return announcements;
  }

  FencingNumber fencing() {
    return fencing;
  }

  LeaderContext context() {
    return context;
  }

  ClaimStore claims() {
    return context.stateMachine().state().claims();
  }

  Configuration configuration() {
    return context.stateMachine().state().configuration();
  }

  long logTimeMs(long atNs) {
    return clock.nowMs(atNs);
  }

  long nowNs() {
    return nowNs;
  }

  private void tickUnderLease() {
    List<Runnable> again = new ArrayList<>(retries);
    retries.clear();
    again.forEach(Runnable::run);
    entryHandler.expireSessions();
    schedulers.tick(nowNs);
    inForceTracker.replyIfDue(nowNs);
    if (sessions.havePriorSessionsExpired(nowNs)) {
      placement.plan(configuration(), nowNs);
    }
    claimExpiry.tick(nowNs);
    servingCoordinator.tick();
    membershipReconciler.ifPresent(keeper -> keeper.tick(nowNs));
  }

  private void carryOut(SchedulerAction action) {
    if (action instanceof SchedulerAction.Send send) {
      sendDecided(send.vm(), send.message());
    } else if (action instanceof SchedulerAction.CommitClaim commit) {
      claimCoordinator.commit(commit, nowNs);
    } else if (action instanceof SchedulerAction.ReleaseClaim release) {
      claimCoordinator.release(release.request(), () -> {}, nowNs);
    } else if (action instanceof SchedulerAction.Log log) {
      context.actions().log(log.decision(), nowNs);
    }
  }

  private void sendDecided(VmId vm, ControlMessage message) {
    if (message instanceof ControlMessage.Grant grant) {
      requests.find(grant.request()).ifPresent(request -> request.granted(grant.upstream()));
      send(vm, message);
    } else if (message instanceof ControlMessage.Refused refused) {
      requests.remove(refused.request());
      claimCoordinator.release(refused.request(), () -> send(vm, message), nowNs);
    } else {
      send(vm, message);
    }
  }

  /** Holds a callback back until the lease holds, and for ever once the leadership has ended. */
  private final class GuardedCallback implements ProposalCallback {

    private final ProposalCallback inner;

    GuardedCallback(ProposalCallback inner) {
      this.inner = inner;
    }

    @Override
    public void committed(CommandResult result, long atNs) {
      pass(() -> inner.committed(result, nowNs));
    }

    @Override
    public void rejected(ProposalRejection reason, long atNs) {
      pass(() -> inner.rejected(reason, nowNs));
    }

    private void pass(Runnable step) {
      if (active) {
        gate.runUnderLease(step);
      }
    }
  }
}
