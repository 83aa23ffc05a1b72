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
 * In-memory state of a leader for one term. It is rebuilt with each leadership: entry VMs report
 * waiting and running requests, and the replicated state holds everything else.
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
  private final ClaimExpiryTask claimExpiryTask;
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
    gate = new LeaseGate(() -> context.stateMachine().replica().isLeaseValid(this.nowNs));
    clock = new LogClock(context.stateMachine().state().logTimeMs(), nowNs);
    sessions = new SessionRegistry(settings.sessions(), nowNs);
    schedulers =
        new PoolSchedulers(context.schedulerFactory(), fencing, settings.seed(), this::execute);
    claimCoordinator = new ClaimCoordinator(this);
    entryHandler = new EntryMessageHandler(this);
    inForceTracker = new InForceTracker(context.actions(), sessions);
    orderDispatcher = new EngineOrderDispatcher(context.actions(), fencing);
    placement = new PlacementPlanner(settings.placement(), announcements, orderDispatcher);
    claimExpiryTask = new ClaimExpiryTask(this, settings);
    servingCoordinator = new ServingCoordinator(this);
    membershipReconciler =
        settings
            .repair()
            .map(
                repair ->
                    new MembershipReconciler(
                        repair, context.stateMachine(), context.actions(), context.self(), nowNs));
  }

  /** Starts serving: passes the configuration to the schedulers, which must not shed load yet. */
  void begin() {
    gate.runUnderLease(
        () -> {
          schedulers.configure(configuration(), nowNs);
          entryHandler.awaitReports();
        });
  }

  /**
   * Ends the leadership: results of operations that are still in flight are ignored from now on.
   */
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
   * Runs the work that is due, unless the lease is not valid. A tick carries no data, so it is not
   * queued until the lease is valid again.
   *
   * <p>Otherwise, while a leader is partitioned and has not stepped down yet, the wake-ups of its
   * schedulers would expire and thousands of ticks would pile up in the queue.
   */
  void tick() {
    if (gate.isOpen()) {
      tickUnderLease();
    }
  }

  /** Passes on a configuration that has just been committed. */
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

  /**
   * Pushes state that an external platform has changed to the VMs that place requests themselves.
   */
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
   * Passes an event to the scheduler of a request's pool.
   *
   * @return whether the request has a grant afterwards
   */
  boolean deliver(PoolId pool, RequestId request, SchedulerEvent event, long atNs) {
    schedulers.handle(pool, event, atNs);
    return requests.find(request).flatMap(TrackedRequest::upstream).isPresent();
  }

  /** Proposes a command. The callback is called only while this leadership is active. */
  void propose(Command command, ProposalCallback callback, long atNs) {
    context.stateMachine().propose(command, new LeaseGuardedCallback(callback), atNs);
  }

  /**
   * Proposes a command without waiting for its outcome; the caller proposes it again later if it is
   * not committed.
   */
  void proposeBestEffort(Command command) {
    proposeThen(command, () -> {});
  }

  /**
   * Proposes a command that the caller proposes again if it is not committed, and runs a step once
   * it is committed.
   */
  void proposeThen(Command command, Runnable committed) {
    proposeThen(command, committed, () -> {});
  }

  /**
   * Proposes a command and runs one step once it is committed, or another one if it is rejected.
   */
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

  /** Runs a step again on the next tick. */
  void retryLater(Runnable step) {
    retries.add(step);
  }

  /** Returns whether a VM may still be serving, as far as this leadership can know. */
  boolean canBeAlive(VmId vm, long atNs) {
    return !sessions.havePriorSessionsExpired(atNs) || sessions.find(vm).isPresent();
  }

  /**
   * Returns when work is due next. Without a valid lease nothing is due: a wake-up that has passed
   * would otherwise fire again immediately and keep the process busy until it steps down.
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
            claimExpiryTask.nextWakeupNs(),
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
    List<Runnable> due = new ArrayList<>(retries);
    retries.clear();
    due.forEach(Runnable::run);
    entryHandler.expireSessions();
    schedulers.tick(nowNs);
    inForceTracker.replyIfDue(nowNs);
    if (sessions.havePriorSessionsExpired(nowNs)) {
      placement.plan(configuration(), nowNs);
    }
    claimExpiryTask.tick(nowNs);
    servingCoordinator.tick();
    membershipReconciler.ifPresent(reconciler -> reconciler.tick(nowNs));
  }

  private void execute(SchedulerAction action) {
    if (action instanceof SchedulerAction.Send send) {
      sendSchedulerMessage(send.vm(), send.message());
    } else if (action instanceof SchedulerAction.CommitClaim commit) {
      claimCoordinator.commit(commit, nowNs);
    } else if (action instanceof SchedulerAction.ReleaseClaim release) {
      claimCoordinator.release(release.request(), () -> {}, nowNs);
    } else if (action instanceof SchedulerAction.Log log) {
      context.actions().log(log.decision(), nowNs);
    }
  }

  private void sendSchedulerMessage(VmId vm, ControlMessage message) {
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

  /** Delays a callback until the lease is valid, and drops it once the leadership has ended. */
  private final class LeaseGuardedCallback implements ProposalCallback {

    private final ProposalCallback delegate;

    LeaseGuardedCallback(ProposalCallback delegate) {
      this.delegate = delegate;
    }

    @Override
    public void committed(CommandResult result, long atNs) {
      runIfActive(() -> delegate.committed(result, nowNs));
    }

    @Override
    public void rejected(ProposalRejection reason, long atNs) {
      runIfActive(() -> delegate.rejected(reason, nowNs));
    }

    private void runIfActive(Runnable step) {
      if (active) {
        gate.runUnderLease(step);
      }
    }
  }
}
