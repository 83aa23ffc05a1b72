package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.rollout.CanaryAnalyzer;
import org.teaseltrail.core.rollout.CanaryBudgetAllocator;
import org.teaseltrail.core.rollout.ExposureCounters;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;
import org.teaseltrail.core.rollout.RolloutSettings;
import org.teaseltrail.core.rollout.Verdict;

/**
 * Monitors, on the leader, one rollout that has not ended: selects the canary's upstreams and
 * decides on the next phase.
 */
final class RolloutMonitor {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Fraction of the rollout's duration after which the target version receives all new requests.
   */
  private static final double SHIFT_START_RATIO = 0.7;

  /**
   * Fraction of the duration after which the shift is no longer started: requests on the old
   * upstreams could not finish in time.
   */
  private static final double SHIFT_END_RATIO = 0.9;

  /**
   * Fraction of the duration after which the rollout is completed if no request runs on the old
   * upstreams.
   */
  private static final double COMPLETE_START_RATIO = 0.85;

  /**
   * Fraction of the duration after which the rollout is completed even if requests still run on the
   * old upstreams.
   */
  private static final double COMPLETE_FORCED_RATIO = 0.92;

  /**
   * Slots that the target version needs, relative to those of the old versions. With fewer slots,
   * completing the rollout would lose more requests than rolling it back.
   */
  private static final double MIN_SLOT_RATIO = 0.6;

  /** Answers needed to assess a version, unless there are hardly any requests. */
  private static final int MIN_OBSERVATIONS = 20;

  /** Fraction of all requests that is enough to assess a version if there are few requests. */
  private static final double MIN_OBSERVATION_RATIO = 0.03;

  /** Interval at which the canary moves on to other upstreams of the target version. */
  private static final long TARGET_ROTATION_NS = 2_000 * NS_PER_MS;

  /** Progress of the entry VMs in shifting a service's traffic to the target version. */
  enum TrafficShiftState {
    /** Some connected VM does not have the newest rollout state yet. */
    PROPAGATING,
    /** All VMs have it; some requests still run on old upstreams. */
    FINISHING,
    /** No request runs on old upstreams any longer. */
    FINISHED
  }

  /** A transition of the rollout to another phase. */
  record PhaseTransition(RolloutPhase phase, RolloutReason reason) {}

  private final RolloutSettings settings;
  private final CanaryAnalyzer analyzer;
  private final CanaryBudgetAllocator budgetAllocator;
  private final long startedNs;
  private Rollout rollout;
  private boolean writes;

  RolloutMonitor(RolloutSettings settings, Rollout rollout, long nowNs) {
    this.settings = settings;
    this.rollout = rollout;
    startedNs = nowNs;
    analyzer = new CanaryAnalyzer(nowNs);
    budgetAllocator = new CanaryBudgetAllocator(settings.limit(), rollout.account());
  }

  Rollout rollout() {
    return rollout;
  }

  CanaryAnalyzer analyzer() {
    return analyzer;
  }

  CanaryBudgetAllocator budgetAllocator() {
    return budgetAllocator;
  }

  /** Updates the rollout from the replicated state. */
  void onCommitted(Rollout committed) {
    rollout = committed;
    budgetAllocator.updateCommitted(committed.account());
  }

  /** Returns whether the counters must be written to the log and no such write is in flight. */
  boolean canPersist(ExposureCounters wanted) {
    return !writes && !wanted.equals(rollout.account());
  }

  void beginPersist() {
    writes = true;
  }

  void endPersist() {
    writes = false;
  }

  Optional<Verdict> verdict() {
    return analyzer.verdict();
  }

  /**
   * Returns the upstreams that receive the canary's requests now. Their number is small enough for
   * them to run at the same load as the old ones, since some faults appear only under load.
   */
  List<UpstreamId> targets(List<Registration> upstreams, WarmUpTracker warmUpTracker, long nowNs) {
    List<UpstreamId> ready = new ArrayList<>();
    for (Registration upstream : upstreams) {
      if (rollout.isTargetVersion(upstream.version()) && warmUpTracker.isWarm(upstream, nowNs)) {
        ready.add(upstream.id());
      }
    }
    long previousCount = upstreams.stream().filter(this::isPreviousAndReady).count();
    int wanted = (int) Math.max(1, Math.ceil(settings.limit().effectiveShare() * previousCount));
    int turn = (int) ((nowNs - startedNs) / TARGET_ROTATION_NS);
    List<UpstreamId> targets = new ArrayList<>();
    for (int i = 0; i < Math.min(wanted, ready.size()); i++) {
      targets.add(ready.get((turn * wanted + i) % ready.size()));
    }
    return targets;
  }

  /**
   * Returns the next transition of the rollout, if one is due.
   *
   * @param logTimeMs log time
   * @param upstreams the service's upstreams
   * @param warmUpTracker warm-up state of the upstreams
   * @param shiftState progress of the traffic shift
   * @param nowNs time
   */
  Optional<PhaseTransition> turn(
      long logTimeMs,
      List<Registration> upstreams,
      WarmUpTracker warmUpTracker,
      TrafficShiftState shiftState,
      long nowNs) {
    if (verdict().isPresent()) {
      return Optional.of(new PhaseTransition(RolloutPhase.ROLLED_BACK, verdict().get().reason()));
    }
    double elapsed = rollout.elapsedFraction(logTimeMs);
    boolean hasEnoughSlots = hasEnoughSlots(upstreams, warmUpTracker, nowNs);
    if (rollout.phase() == RolloutPhase.SHIFTING) {
      return transitionWhileShifting(elapsed, hasEnoughSlots, shiftState);
    }
    boolean isAssessed = isAssessed();
    if (elapsed >= SHIFT_START_RATIO && elapsed < SHIFT_END_RATIO && hasEnoughSlots && isAssessed) {
      return Optional.of(new PhaseTransition(RolloutPhase.SHIFTING, RolloutReason.PROVEN));
    }
    if (elapsed >= 1) {
      RolloutReason reason =
          hasEnoughSlots ? RolloutReason.UNPROVEN : RolloutReason.TOO_FEW_UPSTREAMS;
      return Optional.of(new PhaseTransition(RolloutPhase.ROLLED_BACK, reason));
    }
    return Optional.empty();
  }

  private static Optional<PhaseTransition> transitionWhileShifting(
      double elapsed, boolean hasEnoughSlots, TrafficShiftState shiftState) {
    boolean isComplete =
        elapsed >= COMPLETE_START_RATIO && shiftState == TrafficShiftState.FINISHED;
    boolean isForced =
        elapsed >= COMPLETE_FORCED_RATIO && shiftState != TrafficShiftState.PROPAGATING;
    if (isComplete || isForced || elapsed >= 1) {
      return Optional.of(
          hasEnoughSlots
              ? new PhaseTransition(RolloutPhase.COMPLETED, RolloutReason.IN_FORCE)
              : new PhaseTransition(RolloutPhase.ROLLED_BACK, RolloutReason.TOO_FEW_UPSTREAMS));
    }
    return Optional.empty();
  }

  private boolean isAssessed() {
    double wanted = Math.min(MIN_OBSERVATIONS, MIN_OBSERVATION_RATIO * budgetAllocator.reached());
    return analyzer.targetAnswerCount() >= wanted && !analyzer.isSuspicious();
  }

  private boolean hasEnoughSlots(
      List<Registration> upstreams, WarmUpTracker warmUpTracker, long nowNs) {
    int ordered = 0;
    int previousSlots = 0;
    for (Registration upstream : upstreams) {
      if (rollout.isTargetVersion(upstream.version())) {
        ordered += acceptsAllRequests(upstream, warmUpTracker, nowNs) ? upstream.slots() : 0;
      } else if (isPreviousAndReady(upstream)) {
        previousSlots += upstream.slots();
      }
    }
    return ordered > 0 && ordered >= MIN_SLOT_RATIO * previousSlots;
  }

  /**
   * Returns whether an upstream of the target version may receive any request. During the traffic
   * shift, the upstream has warmed up before, and a new leader has not received its heartbeat yet,
   * so its phase alone decides.
   */
  private boolean acceptsAllRequests(
      Registration upstream, WarmUpTracker warmUpTracker, long nowNs) {
    boolean isShifting = rollout.phase() == RolloutPhase.SHIFTING;
    return isShifting
        ? upstream.phase() == RegistrationPhase.READY
        : warmUpTracker.isWarm(upstream, nowNs);
  }

  private boolean isPreviousAndReady(Registration upstream) {
    return upstream.phase() == RegistrationPhase.READY
        && rollout.isPreviousVersion(upstream.version());
  }
}
