package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrder;
import org.teaseltrail.core.rollout.RolloutOrderResult;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;

/**
 * Simulates rollouts through the serving components, in virtual time, at the size of a large
 * deployment.
 */
class RolloutTest {

  private static final int DURATION_MS = 12_000;
  private static final int VMS = 24;
  private static final int ENGINES = 42;
  private static final double PER_SECOND = 270;
  private static final int WARM_UP_MS = 2_000;
  private static final int AFTERWARDS_MS = 2_000;
  private static final int STOP_WITHIN_MS = 2_000;
  private static final int FEW_VMS = 6;
  private static final int FEW_ENGINES = 8;
  private static final double FEW_PER_SECOND = 50;

  private static RolloutSimulation large(VersionBehavior bad) {
    return new RolloutSimulation(new SplittableRandom(32), bad, VMS, ENGINES, DURATION_MS);
  }

  private static RolloutSimulation small(VersionBehavior bad) {
    RolloutSimulation run =
        new RolloutSimulation(new SplittableRandom(33), bad, FEW_VMS, FEW_ENGINES, DURATION_MS);
    run.simulate(WARM_UP_MS, FEW_PER_SECOND);
    return run;
  }

  /**
   * A bad version must not receive more than its share of the requests, nor any long after it is
   * known to be bad.
   */
  @ParameterizedTest
  @EnumSource(value = VersionBehavior.class, mode = EnumSource.Mode.EXCLUDE, names = "GOOD")
  void badVersionIsRolledBackWithinItsBounds(VersionBehavior bad) {
    RolloutSimulation run = large(bad);
    run.simulate(WARM_UP_MS, PER_SECOND);
    run.order();
    run.simulate(DURATION_MS + AFTERWARDS_MS, PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat((double) run.exposed()).isLessThanOrEqualTo(run.allowed());
    assertThat(run.exposureAfterDetectionMs()).isLessThanOrEqualTo(STOP_WITHIN_MS);
  }

  /** Engines of the previous version stop without draining once the rollout is completed. */
  @Test
  void goodVersionIsCompletedInTimeAndNothingIsLost() {
    RolloutSimulation run = large(VersionBehavior.GOOD);
    run.simulate(WARM_UP_MS, PER_SECOND);
    run.order();
    while (run.rollout().phase() != RolloutPhase.COMPLETED) {
      run.simulate(100, PER_SECOND);
      assertThat(run.sinceOrderMs()).isLessThanOrEqualTo(DURATION_MS);
    }
    run.stopAll(RolloutSimulation.OLD);
    assertThat(run.lostRequests()).isZero();
    run.simulate(AFTERWARDS_MS, PER_SECOND);
    assertThat(run.servedShare()).isGreaterThan(0.98);
  }

  /** The leader that acknowledged the order is killed; then all components lose power. */
  @Test
  void rolloutSurvivesLeaderLossAndPowerLoss() {
    RolloutSimulation run = small(VersionBehavior.GOOD);
    assertThat(run.order())
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ACCEPTED));
    run.group().leader().kill();
    run.simulate(1_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.RUNNING);
    run.losePower();
    run.simulate(2_000, FEW_PER_SECOND);
    assertThat(run.rollout().order().to()).isEqualTo(RolloutSimulation.ORDERED);
    run.simulate(DURATION_MS, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.COMPLETED);
  }

  /**
   * A leader that is elected right before the completion has no reports yet on how warm the engines
   * are.
   */
  @Test
  void goodVersionIsCompletedAfterLeaderLossDuringTrafficShift() {
    RolloutSimulation run = small(VersionBehavior.GOOD);
    run.order();
    run.simulate(9_850, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.SHIFTING);
    run.group().leader().kill();
    run.simulate(5_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.COMPLETED);
  }

  /** All components lose power after a rollback while the bad version's engines still run. */
  @Test
  void rollbackSurvivesPowerLoss() {
    RolloutSimulation run = small(VersionBehavior.FAILS);
    run.order();
    run.simulate(6_000, FEW_PER_SECOND);
    assertThat(run.rollout().reason()).isEqualTo(RolloutReason.FAILURES);
    final long lastMs = run.lastExposedMs();
    run.losePower();
    run.simulate(6_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(run.lastExposedMs()).isEqualTo(lastMs);
  }

  /** VMs that are partitioned when the version should be rolled back must stop sending to it. */
  @Test
  void partitionedVmStopsSendingToTheTargetVersion() {
    RolloutSimulation run = small(VersionBehavior.FAILS);
    run.order();
    run.simulate(1_500, FEW_PER_SECOND);
    for (int vm = 0; vm < run.vms().count(); vm++) {
      run.vms().setPartitioned(vm, true);
    }
    run.simulate(1_500, FEW_PER_SECOND);
    assertThat(run.sinceOrderMs() - run.lastExposedMs()).isGreaterThan(400);
  }

  @Test
  void operatorAbortsRollout() {
    RolloutSimulation run = small(VersionBehavior.GOOD);
    run.order();
    run.simulate(2_000, FEW_PER_SECOND);
    OperatorResult answer =
        run.group().call(run.group().leader(), new OperatorRequest.AbortRollout(TestPlans.ENGINES));
    assertThat(answer)
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ACCEPTED));
    assertThat(run.rollout().reason()).isEqualTo(RolloutReason.ABORTED);
    run.simulate(50, FEW_PER_SECOND);
    long lastMs = run.lastExposedMs();
    run.simulate(2_000, FEW_PER_SECOND);
    assertThat(run.lastExposedMs()).isEqualTo(lastMs);
  }

  /**
   * The target version's engines never start; those of the previous version must not be stopped.
   */
  @Test
  void versionWithoutEnginesIsRolledBackAtTheDeadline() {
    RolloutSimulation run = small(VersionBehavior.GOOD);
    run.startRollout();
    run.simulate(DURATION_MS + 500, FEW_PER_SECOND);
    Rollout rollout = run.rollout();
    assertThat(rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(rollout.reason()).isEqualTo(RolloutReason.TOO_FEW_UPSTREAMS);
  }

  @Test
  void invalidOrdersAreRejectedWithoutEffect() {
    RolloutSimulation run = small(VersionBehavior.GOOD);
    assertThat(startRollout(run, new ServiceId("unknown"), RolloutSimulation.ORDERED, 1_000))
        .isEqualTo(RolloutOrderResult.UNKNOWN_SERVICE);
    assertThat(startRollout(run, TestPlans.ENGINES, RolloutSimulation.ORDERED, 0))
        .isEqualTo(RolloutOrderResult.BAD_DURATION);
    assertThat(startRollout(run, TestPlans.ENGINES, RolloutSimulation.OLD, 1_000))
        .isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
    assertThat(readRollout(run)).isEmpty();
    run.order();
    assertThat(run.startRollout())
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ALREADY_RUNNING));
  }

  private static RolloutOrderResult startRollout(
      RolloutSimulation run, ServiceId service, UpstreamVersion to, long durationMs) {
    RolloutOrder order = new RolloutOrder(service, to, durationMs);
    OperatorResult result =
        run.group().call(run.group().leader(), new OperatorRequest.StartRollout(order));
    return ((OperatorResult.RolloutOrderAnswered) result).answer();
  }

  private static Optional<Rollout> readRollout(RolloutSimulation run) {
    OperatorResult result =
        run.group().call(run.group().leader(), new OperatorRequest.ReadRollout(TestPlans.ENGINES));
    return ((OperatorResult.RolloutRead) result).rollout();
  }
}
