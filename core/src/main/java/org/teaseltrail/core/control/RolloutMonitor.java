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

/** Watches, on the leader, one rollout that has not ended: whom to lend to, and when it turns. */
final class RolloutMonitor {

  private static final long NS_PER_MS = 1_000_000L;

  /** Part of its time after which the ordered version gets all new requests. */
  private static final double SHIFT_START_RATIO = 0.7;

  /** Part of its time after which it is too late for that: the old ones couldn't finish. */
  private static final double SHIFT_END_RATIO = 0.9;

  /** Part of its time after which it is completed if nothing runs on the old upstreams. */
  private static final double COMPLETE_START_RATIO = 0.85;

  /** Part of its time after which it is completed with what still runs there. */
  private static final double COMPLETE_FORCED_RATIO = 0.92;

  /**
   * Places that the ordered version needs, in relation to those of the old ones. Fewer would lose
   * more requests than a rollout that isn't completed.
   */
  private static final double MIN_SLOT_RATIO = 0.6;

  /** Answers without which nothing is known of a version, unless there are hardly any requests. */
  private static final int MIN_OBSERVATIONS = 20;

  /** Part of all requests that is enough to look at where there are few. */
  private static final double MIN_OBSERVATION_RATIO = 0.03;

  /** Time after which the canary goes on to other upstreams of the version. */
  private static final long TARGET_ROTATION_NS = 2_000 * NS_PER_MS;

  /** Says how far all VMs are with what the record asks of them. */
  enum TrafficShiftState {
    /** Some VM in touch doesn't have the record yet. */
    PROPAGATING,
    /** All have it; some requests still run on old upstreams. */
    FINISHING,
    /** Nothing runs on old upstreams any longer. */
    FINISHED
  }

  /** What a rollout is to turn to. */
  record PhaseTransition(RolloutPhase phase, RolloutReason reason) {}

  private final RolloutSettings settings;
  private final CanaryAnalyzer analyzer;
  private final CanaryBudgetAllocator budgetAllocator;
  private final long beganNs;
  private Rollout rollout;
  private boolean writes;

  RolloutMonitor(RolloutSettings settings, Rollout rollout, long nowNs) {
    this.settings = settings;
    this.rollout = rollout;
    beganNs = nowNs;
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

  /** Takes over what is in the log by now. */
  void onCommitted(Rollout newer) {
    rollout = newer;
    budgetAllocator.updateCommitted(newer.account());
  }

  /** Tells whether an account is to be written down, and nothing is being written yet. */
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
   * Returns the upstreams that get the canary's requests now: so few that they run as full as the
   * old ones, since some faults show under load only.
   */
  List<UpstreamId> targets(List<Registration> upstreams, WarmUpTracker warm, long nowNs) {
    List<UpstreamId> ready = new ArrayList<>();
    for (Registration upstream : upstreams) {
      if (rollout.isTargetVersion(upstream.version()) && warm.isWarm(upstream, nowNs)) {
        ready.add(upstream.id());
      }
    }
    long old = upstreams.stream().filter(this::isOldAndReady).count();
    int wanted = (int) Math.max(1, Math.ceil(settings.limit().effectiveShare() * old));
    int turn = (int) ((nowNs - beganNs) / TARGET_ROTATION_NS);
    List<UpstreamId> targets = new ArrayList<>();
    for (int i = 0; i < Math.min(wanted, ready.size()); i++) {
      targets.add(ready.get((turn * wanted + i) % ready.size()));
    }
    return targets;
  }

  /**
   * Returns what the rollout should turn to.
   *
   * @param logTimeMs log time
   * @param upstreams the service's upstreams
   * @param warm which of them are warm
   * @param handedOver whether all VMs have the record, and nothing runs on the old upstreams
   * @param nowNs time
   */
  Optional<PhaseTransition> turn(
      long logTimeMs,
      List<Registration> upstreams,
      WarmUpTracker warm,
      TrafficShiftState handedOver,
      long nowNs) {
    if (verdict().isPresent()) {
      return Optional.of(new PhaseTransition(RolloutPhase.ROLLED_BACK, verdict().get().reason()));
    }
    double passed = rollout.elapsedFraction(logTimeMs);
    boolean roomy = hasPlaces(upstreams, warm, nowNs);
    if (rollout.phase() == RolloutPhase.SHIFTING) {
      return whileShifting(passed, roomy, handedOver);
    }
    boolean known = isLookedAtEnough();
    if (passed >= SHIFT_START_RATIO && passed < SHIFT_END_RATIO && roomy && known) {
      return Optional.of(new PhaseTransition(RolloutPhase.SHIFTING, RolloutReason.PROVEN));
    }
    if (passed >= 1) {
      RolloutReason why = roomy ? RolloutReason.UNPROVEN : RolloutReason.TOO_FEW_UPSTREAMS;
      return Optional.of(new PhaseTransition(RolloutPhase.ROLLED_BACK, why));
    }
    return Optional.empty();
  }

  private static Optional<PhaseTransition> whileShifting(
      double passed, boolean roomy, TrafficShiftState handedOver) {
    boolean finished = passed >= COMPLETE_START_RATIO && handedOver == TrafficShiftState.FINISHED;
    boolean atLast = passed >= COMPLETE_FORCED_RATIO && handedOver != TrafficShiftState.PROPAGATING;
    if (finished || atLast || passed >= 1) {
      return Optional.of(
          roomy
              ? new PhaseTransition(RolloutPhase.COMPLETED, RolloutReason.IN_FORCE)
              : new PhaseTransition(RolloutPhase.ROLLED_BACK, RolloutReason.TOO_FEW_UPSTREAMS));
    }
    return Optional.empty();
  }

  private boolean isLookedAtEnough() {
    double wanted = Math.min(MIN_OBSERVATIONS, MIN_OBSERVATION_RATIO * budgetAllocator.reached());
    return analyzer.targetAnswerCount() >= wanted && !analyzer.isSuspicious();
  }

  private boolean hasPlaces(List<Registration> upstreams, WarmUpTracker warm, long nowNs) {
    int ordered = 0;
    int old = 0;
    for (Registration upstream : upstreams) {
      if (rollout.isTargetVersion(upstream.version())) {
        ordered += takesAll(upstream, warm, nowNs) ? upstream.slots() : 0;
      } else if (isOldAndReady(upstream)) {
        old += upstream.slots();
      }
    }
    return ordered > 0 && ordered >= MIN_SLOT_RATIO * old;
  }

  /**
   * Tells whether an upstream of the ordered version may take any request. Once all turn to it, it
   * has been warm; a leader that has just begun has not heard of it yet.
   */
  private boolean takesAll(Registration upstream, WarmUpTracker warm, long nowNs) {
    boolean turned = rollout.phase() == RolloutPhase.SHIFTING;
    return turned ? upstream.phase() == RegistrationPhase.READY : warm.isWarm(upstream, nowNs);
  }

  private boolean isOldAndReady(Registration upstream) {
    return upstream.phase() == RegistrationPhase.READY
        && rollout.isPreviousVersion(upstream.version());
  }
}
