package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.ExposureCounters;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReport;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.core.state.Command;

/**
 * Carries out rollouts on the leader: allocates canary requests to the entry VMs, collects what
 * they observed, and moves each rollout to its next phase through the log.
 */
final class RolloutCoordinator {

  /** The leader's view of the entry VMs. */
  interface EntryVmsView {

    /** Returns the progress of the shift of a service's traffic to the target version. */
    RolloutMonitor.TrafficShiftState handOver(ServiceId service);

    /** Returns the number of requests that all VMs have in flight at an upstream. */
    int inFlight(UpstreamId upstream);
  }

  private static final long NS_PER_MS = 1_000_000L;

  /** Interval between two checks of the running rollouts. */
  private static final long CHECK_INTERVAL_NS = 100 * NS_PER_MS;

  /**
   * Validity of a canary allowance. It makes a VM that is partitioned from the leader stop sending
   * requests to a version that has been rolled back meanwhile.
   */
  private static final long ALLOWANCE_VALIDITY_MS = 1_000;

  private final Leadership leadership;
  private final EntryVmsView vms;
  private final WarmUpTracker warmUpTracker = new WarmUpTracker();
  private final Map<ServiceId, RolloutMonitor> monitors = new HashMap<>();
  private final Map<ServiceId, RolloutPhase> announcedPhases = new HashMap<>();
  private long nextCheckNs;

  RolloutCoordinator(Leadership leadership, EntryVmsView vms) {
    this.leadership = leadership;
    this.vms = vms;
    state()
        .rollouts()
        .all()
        .forEach(rollout -> announcedPhases.put(rollout.order().service(), rollout.phase()));
    updateMonitors();
  }

  /** Processes a VM's report and allocates further canary requests to it. */
  void message(ServingMessage.Rollouts message) {
    List<CanaryAllowance> loans = new ArrayList<>();
    for (RolloutReport report : message.uses()) {
      findMonitor(report).ifPresent(monitor -> loans.add(allocate(message, report, monitor)));
    }
    leadership.sendServing(
        message.vm(),
        new ServingReply.CanaryLoans(
            leadership.fencing(), message.sequence(), ALLOWANCE_VALIDITY_MS, loans));
  }

  /** Processes commands that have just been committed. */
  void onCommit() {
    updateMonitors();
    for (Rollout rollout : state().rollouts().all()) {
      ServiceId service = rollout.order().service();
      RolloutMonitor monitor = monitors.get(service);
      if (rollout.phase() != announcedPhases.put(service, rollout.phase())) {
        leadership
            .context()
            .actions()
            .rolloutPhaseChanged(
                rollout, monitor == null ? Optional.empty() : monitor.analyzer().verdict());
      }
    }
    monitors.values().removeIf(monitor -> !currentRollout(monitor).phase().isOpen());
  }

  void onHeartbeat(Registration heard) {
    warmUpTracker.heard(heard, leadership.nowNs());
  }

  void removeVm(VmId vm) {
    monitors.values().forEach(monitor -> monitor.budgetAllocator().removeVm(vm));
  }

  void tick() {
    long nowNs = leadership.nowNs();
    if (monitors.isEmpty() || nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    warmUpTracker.retain(state().registry().present());
    monitors.values().forEach(monitor -> decide(monitor, nowNs));
  }

  /** Returns when the next check of the running rollouts is due. */
  OptionalLong nextWakeupNs() {
    return monitors.isEmpty() ? OptionalLong.empty() : OptionalLong.of(nextCheckNs);
  }

  ServingReply.RolloutUpdate buildUpdate() {
    return new ServingReply.RolloutUpdate(
        leadership.fencing(), state().rollouts().revision(), state().rollouts().all());
  }

  /** Updates the monitors of running rollouts from the replicated state. */
  private void updateMonitors() {
    for (Rollout rollout : state().rollouts().all()) {
      ServiceId service = rollout.order().service();
      RolloutMonitor monitor = monitors.get(service);
      boolean isNew = monitor == null || monitor.rollout().orderedMs() != rollout.orderedMs();
      if (!isNew) {
        monitor.onCommitted(rollout);
      } else if (rollout.phase().isOpen()) {
        monitors.put(
            service,
            new RolloutMonitor(
                leadership.context().settings().rollouts(), rollout, leadership.nowNs()));
      }
    }
  }

  private Rollout currentRollout(RolloutMonitor monitor) {
    return state().rollouts().find(monitor.rollout().order().service()).orElseThrow();
  }

  private Optional<RolloutMonitor> findMonitor(RolloutReport report) {
    return Optional.ofNullable(monitors.get(report.service()))
        .filter(monitor -> monitor.rollout().orderedMs() == report.orderedMs());
  }

  private CanaryAllowance allocate(
      ServingMessage.Rollouts message, RolloutReport report, RolloutMonitor monitor) {
    monitor.budgetAllocator().recordReport(message.vm(), message.incarnation(), report);
    long heard =
        monitor
            .analyzer()
            .recordReport(
                message.vm(), message.incarnation(), report.firstNumber(), report.observations());
    Rollout rollout = monitor.rollout();
    boolean canAllocate = rollout.phase() == RolloutPhase.RUNNING && monitor.verdict().isEmpty();
    List<UpstreamId> targets =
        canAllocate
            ? monitor.targets(upstreams(rollout), warmUpTracker, leadership.nowNs())
            : List.of();
    long ceiling = report.ceiling();
    if (!targets.isEmpty()) {
      persistExposure(monitor);
      ceiling = monitor.budgetAllocator().allocate(message.vm(), freeSlots(targets));
    }
    return new CanaryAllowance(
        rollout.order().service(), rollout.orderedMs(), ceiling, targets, heard);
  }

  /**
   * Returns the free slots of the canary's upstreams. Allowances are limited to these, since
   * overloaded canary upstreams would make the new version look slow.
   */
  private long freeSlots(List<UpstreamId> targets) {
    long slotsFree = 0;
    for (UpstreamId target : targets) {
      int slots = state().registry().find(target).map(Registration::slots).orElse(0);
      slotsFree += slots - vms.inFlight(target);
    }
    return slotsFree;
  }

  /**
   * Raises the exposure limit in the log before requests are allocated from it, for many requests
   * at a time.
   */
  private void persistExposure(RolloutMonitor monitor) {
    ExposureCounters wanted = monitor.budgetAllocator().wanted();
    if (!monitor.canPersist(wanted)) {
      return;
    }
    Rollout rollout = monitor.rollout();
    Command.AccountExposure command =
        new Command.AccountExposure(
            rollout.order().service(),
            rollout.orderedMs(),
            wanted,
            leadership.logTimeMs(leadership.nowNs()));
    monitor.beginPersist();
    leadership.proposeThen(
        command,
        () -> {
          monitor.endPersist();
          updateMonitors();
        },
        monitor::endPersist);
  }

  private void decide(RolloutMonitor monitor, long nowNs) {
    monitor.analyzer().tick(nowNs);
    Rollout rollout = monitor.rollout();
    ServiceId service = rollout.order().service();
    monitor
        .turn(
            leadership.logTimeMs(nowNs),
            upstreams(rollout),
            warmUpTracker,
            vms.handOver(service),
            nowNs)
        .ifPresent(turn -> propose(rollout, turn));
  }

  private void propose(Rollout rollout, RolloutMonitor.PhaseTransition turn) {
    leadership.proposeBestEffort(
        new Command.TurnRollout(
            rollout.order().service(),
            rollout.orderedMs(),
            turn.phase(),
            turn.reason(),
            leadership.logTimeMs(leadership.nowNs())));
  }

  private List<Registration> upstreams(Rollout rollout) {
    return state().registry().present().stream()
        .filter(upstream -> upstream.service().equals(rollout.order().service()))
        .toList();
  }

  private ClusterState state() {
    return leadership.context().stateMachine().state();
  }
}
