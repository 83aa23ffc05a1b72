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

  private static RolloutRun large(BadVersion bad) {
    return new RolloutRun(new SplittableRandom(32), bad, VMS, ENGINES, DURATION_MS);
  }

  private static RolloutRun small(BadVersion bad) {
    RolloutRun run =
        new RolloutRun(new SplittableRandom(33), bad, FEW_VMS, FEW_ENGINES, DURATION_MS);
    run.play(WARM_UP_MS, FEW_PER_SECOND);
    return run;
  }

  /**
   * A bad version must not receive more than its share of the requests, nor any long after it is
   * known to be bad.
   */
  @ParameterizedTest
  @EnumSource(value = BadVersion.class, mode = EnumSource.Mode.EXCLUDE, names = "GOOD")
  void badVersionIsRolledBackWithinItsBounds(BadVersion bad) {
    RolloutRun run = large(bad);
    run.play(WARM_UP_MS, PER_SECOND);
    run.order();
    run.play(DURATION_MS + AFTERWARDS_MS, PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat((double) run.exposed()).isLessThanOrEqualTo(run.allowed());
    assertThat(run.sentAfterCountedMs()).isLessThanOrEqualTo(STOP_WITHIN_MS);
  }

  /** Engines of the previous version stop without draining once the rollout is completed. */
  @Test
  void goodVersionIsCompletedInTimeAndNothingIsLost() {
    RolloutRun run = large(BadVersion.GOOD);
    run.play(WARM_UP_MS, PER_SECOND);
    run.order();
    while (run.rollout().phase() != RolloutPhase.COMPLETED) {
      run.play(100, PER_SECOND);
      assertThat(run.sinceOrderMs()).isLessThanOrEqualTo(DURATION_MS);
    }
    run.endAll(RolloutRun.OLD);
    assertThat(run.lost()).isZero();
    run.play(AFTERWARDS_MS, PER_SECOND);
    assertThat(run.servedShare()).isGreaterThan(0.98);
  }

  /** The leader that acknowledged the order is killed; then all components lose power. */
  @Test
  void orderOutlivesLeaderAndLossOfPower() {
    RolloutRun run = small(BadVersion.GOOD);
    assertThat(run.order())
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ACCEPTED));
    run.group().leader().kill();
    run.play(1_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.RUNNING);
    run.losePower();
    run.play(2_000, FEW_PER_SECOND);
    assertThat(run.rollout().order().to()).isEqualTo(RolloutRun.ORDERED);
    run.play(DURATION_MS, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.COMPLETED);
  }

  /**
   * A leader that is elected right before the completion has no reports yet on how warm the engines
   * are.
   */
  @Test
  void goodVersionIsCompletedThoughTheLeaderIsLostWhileAllTurnToIt() {
    RolloutRun run = small(BadVersion.GOOD);
    run.order();
    run.play(9_850, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.SHIFTING);
    run.group().leader().kill();
    run.play(5_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.COMPLETED);
  }

  /** All components lose power after a rollback while the bad version's engines still run. */
  @Test
  void rollBackOutlivesLossOfPower() {
    RolloutRun run = small(BadVersion.FAILS);
    run.order();
    run.play(6_000, FEW_PER_SECOND);
    assertThat(run.rollout().reason()).isEqualTo(RolloutReason.FAILURES);
    final long lastMs = run.lastExposedMs();
    run.losePower();
    run.play(6_000, FEW_PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(run.lastExposedMs()).isEqualTo(lastMs);
  }

  /** VMs that are partitioned when the version should be rolled back must stop sending to it. */
  @Test
  void cutVmStopsSendingToTheOrderedVersionByItself() {
    RolloutRun run = small(BadVersion.FAILS);
    run.order();
    run.play(1_500, FEW_PER_SECOND);
    for (int vm = 0; vm < run.vms().count(); vm++) {
      run.vms().cut(vm, true);
    }
    run.play(1_500, FEW_PER_SECOND);
    assertThat(run.sinceOrderMs() - run.lastExposedMs()).isGreaterThan(400);
  }

  @Test
  void operatorBreaksRolloutOff() {
    RolloutRun run = small(BadVersion.GOOD);
    run.order();
    run.play(2_000, FEW_PER_SECOND);
    OperatorResult answer =
        run.group().ask(run.group().leader(), new OperatorRequest.AbortRollout(TestPlans.ENGINES));
    assertThat(answer)
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ACCEPTED));
    assertThat(run.rollout().reason()).isEqualTo(RolloutReason.ABORTED);
    run.play(50, FEW_PER_SECOND);
    long lastMs = run.lastExposedMs();
    run.play(2_000, FEW_PER_SECOND);
    assertThat(run.lastExposedMs()).isEqualTo(lastMs);
  }

  /**
   * The target version's engines never start; those of the previous version must not be stopped.
   */
  @Test
  void versionWithoutEnginesIsRolledBackAtTheDeadline() {
    RolloutRun run = small(BadVersion.GOOD);
    run.orderAgain();
    run.play(DURATION_MS + 500, FEW_PER_SECOND);
    Rollout rollout = run.rollout();
    assertThat(rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(rollout.reason()).isEqualTo(RolloutReason.TOO_FEW_UPSTREAMS);
  }

  @Test
  void ordersThatCannotBeTakenAreRefusedAndChangeNothing() {
    RolloutRun run = small(BadVersion.GOOD);
    assertThat(startRollout(run, new ServiceId("unknown"), RolloutRun.ORDERED, 1_000))
        .isEqualTo(RolloutOrderResult.UNKNOWN_SERVICE);
    assertThat(startRollout(run, TestPlans.ENGINES, RolloutRun.ORDERED, 0))
        .isEqualTo(RolloutOrderResult.BAD_DURATION);
    assertThat(startRollout(run, TestPlans.ENGINES, RolloutRun.OLD, 1_000))
        .isEqualTo(RolloutOrderResult.ALREADY_IN_FORCE);
    assertThat(readRollout(run)).isEmpty();
    run.order();
    assertThat(run.orderAgain())
        .isEqualTo(new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.ALREADY_RUNNING));
  }

  private static RolloutOrderResult startRollout(
      RolloutRun run, ServiceId service, UpstreamVersion to, long durationMs) {
    RolloutOrder order = new RolloutOrder(service, to, durationMs);
    OperatorResult result =
        run.group().ask(run.group().leader(), new OperatorRequest.StartRollout(order));
    return ((OperatorResult.RolloutOrderAnswered) result).answer();
  }

  private static Optional<Rollout> readRollout(RolloutRun run) {
    OperatorResult result =
        run.group().ask(run.group().leader(), new OperatorRequest.ReadRollout(TestPlans.ENGINES));
    return ((OperatorResult.RolloutRead) result).rollout();
  }
}
