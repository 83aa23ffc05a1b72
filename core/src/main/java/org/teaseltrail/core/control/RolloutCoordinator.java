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
 * Carries rollouts out on the leader: lends the canary's requests to the entry VMs, gathers what
 * they saw, and turns each rollout to its next phase through the log.
 */
final class RolloutCoordinator {

  /** Is what the leader knows of the entry VMs. */
  interface EntryVmsView {

    /** Says how far they are with turning to an ordered version. */
    RolloutMonitor.TrafficShiftState handOver(ServiceId service);

    /** Returns how many requests they have at an upstream. */
    int inFlight(UpstreamId upstream);
  }

  private static final long NS_PER_MS = 1_000_000L;

  /** Time between two looks at the rollouts that run. */
  private static final long CHECK_INTERVAL_NS = 100 * NS_PER_MS;

  /**
   * Time for which requests are lent. Guards against a VM that is cut off and goes on sending to a
   * version that was rolled back: it stops by itself.
   */
  private static final long ALLOWANCE_VALIDITY_MS = 1_000;

  private final Leadership leadership;
  private final EntryVmsView vms;
  private final WarmUpTracker warm = new WarmUpTracker();
  private final Map<ServiceId, RolloutMonitor> open = new HashMap<>();
  private final Map<ServiceId, RolloutPhase> logged = new HashMap<>();
  private long nextCheckNs;

  RolloutCoordinator(Leadership leadership, EntryVmsView vms) {
    this.leadership = leadership;
    this.vms = vms;
    state().rollouts().all().forEach(one -> logged.put(one.order().service(), one.phase()));
    follow();
  }

  /** Takes what a VM has done, and lends it more. */
  void message(ServingMessage.Rollouts told) {
    List<CanaryAllowance> loans = new ArrayList<>();
    for (RolloutReport use : told.uses()) {
      watchOf(use).ifPresent(watch -> loans.add(answer(told, use, watch)));
    }
    leadership.sendServing(
        told.vm(),
        new ServingReply.CanaryLoans(
            leadership.fencing(), told.sequence(), ALLOWANCE_VALIDITY_MS, loans));
  }

  /** Takes what was just committed. */
  void onCommit() {
    follow();
    for (Rollout rollout : state().rollouts().all()) {
      ServiceId service = rollout.order().service();
      RolloutMonitor watch = open.get(service);
      if (rollout.phase() != logged.put(service, rollout.phase())) {
        leadership
            .context()
            .actions()
            .rolloutPhaseChanged(
                rollout, watch == null ? Optional.empty() : watch.analyzer().verdict());
      }
    }
    open.values().removeIf(watch -> !current(watch).phase().isOpen());
  }

  void onHeartbeat(Registration heard) {
    warm.heard(heard, leadership.nowNs());
  }

  void removeVm(VmId vm) {
    open.values().forEach(watch -> watch.budgetAllocator().removeVm(vm));
  }

  void tick() {
    long nowNs = leadership.nowNs();
    if (open.isEmpty() || nowNs < nextCheckNs) {
      return;
    }
    nextCheckNs = nowNs + CHECK_INTERVAL_NS;
    warm.retain(state().registry().present());
    open.values().forEach(watch -> decide(watch, nowNs));
  }

  /** Returns when a look at what runs is due. */
  OptionalLong nextWakeupNs() {
    return open.isEmpty() ? OptionalLong.empty() : OptionalLong.of(nextCheckNs);
  }

  ServingReply.RolloutUpdate buildUpdate() {
    return new ServingReply.RolloutUpdate(
        leadership.fencing(), state().rollouts().revision(), state().rollouts().all());
  }

  /** Takes over what the log says of rollouts that run. */
  private void follow() {
    for (Rollout rollout : state().rollouts().all()) {
      ServiceId service = rollout.order().service();
      RolloutMonitor watch = open.get(service);
      boolean isNew = watch == null || watch.rollout().orderedMs() != rollout.orderedMs();
      if (!isNew) {
        watch.onCommitted(rollout);
      } else if (rollout.phase().isOpen()) {
        open.put(
            service,
            new RolloutMonitor(
                leadership.context().settings().rollouts(), rollout, leadership.nowNs()));
      }
    }
  }

  private Rollout current(RolloutMonitor watch) {
    return state().rollouts().find(watch.rollout().order().service()).orElseThrow();
  }

  private Optional<RolloutMonitor> watchOf(RolloutReport use) {
    return Optional.ofNullable(open.get(use.service()))
        .filter(watch -> watch.rollout().orderedMs() == use.orderedMs());
  }

  private CanaryAllowance answer(
      ServingMessage.Rollouts told, RolloutReport use, RolloutMonitor watch) {
    watch.budgetAllocator().recordReport(told.vm(), told.incarnation(), use);
    long heard =
        watch
            .analyzer()
            .recordReport(told.vm(), told.incarnation(), use.firstNumber(), use.observations());
    Rollout rollout = watch.rollout();
    boolean lends = rollout.phase() == RolloutPhase.RUNNING && watch.verdict().isEmpty();
    List<UpstreamId> targets =
        lends ? watch.targets(upstreams(rollout), warm, leadership.nowNs()) : List.of();
    long ceiling = use.ceiling();
    if (!targets.isEmpty()) {
      writeAhead(watch);
      ceiling = watch.budgetAllocator().allocate(told.vm(), freePlaces(targets));
    }
    return new CanaryAllowance(
        rollout.order().service(), rollout.orderedMs(), ceiling, targets, heard);
  }

  /** Guards against a canary that is slow because its few upstreams were given too much at once. */
  private long freePlaces(List<UpstreamId> targets) {
    long free = 0;
    for (UpstreamId target : targets) {
      int slots = state().registry().find(target).map(Registration::slots).orElse(0);
      free += slots - vms.inFlight(target);
    }
    return free;
  }

  /** Lets the log allow more before it is lent, once for some requests. */
  private void writeAhead(RolloutMonitor watch) {
    ExposureCounters wanted = watch.budgetAllocator().wanted();
    if (!watch.canPersist(wanted)) {
      return;
    }
    Rollout rollout = watch.rollout();
    Command.AccountExposure command =
        new Command.AccountExposure(
            rollout.order().service(),
            rollout.orderedMs(),
            wanted,
            leadership.logTimeMs(leadership.nowNs()));
    watch.beginPersist();
    leadership.proposeThen(
        command,
        () -> {
          watch.endPersist();
          follow();
        },
        watch::endPersist);
  }

  private void decide(RolloutMonitor watch, long nowNs) {
    watch.analyzer().tick(nowNs);
    Rollout rollout = watch.rollout();
    ServiceId service = rollout.order().service();
    watch
        .turn(leadership.logTimeMs(nowNs), upstreams(rollout), warm, vms.handOver(service), nowNs)
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
