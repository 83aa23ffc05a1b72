package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Harmless requests that run while upstreams crash or connections break must not be quarantined for
 * it. There are eight engines of four slots each; one crashes every 0.7 s, as often as one
 * restarts.
 */
class QuarantineFalsePositiveTest {

  private static final int VMS = 6;
  private static final int ENGINES = 8;
  private static final double LOAD_PER_SECOND = 30;

  private static PoisonRequestSimulation run(long seed) {
    PoisonRequestSimulation run =
        new PoisonRequestSimulation(new SplittableRandom(seed), VMS, ENGINES);
    run.simulate(1_000, LOAD_PER_SECOND);
    run.resetCounters();
    return run;
  }

  /** A content that is requested ten times a second is part of many batches that crash. */
  @Test
  void popularContentIsNotQuarantinedWhenEnginesCrashIndependently() {
    PoisonRequestSimulation run = run(1);
    run.startPopularRequests(100);
    run.crashEnginesAtRandom(700);
    run.simulate(30_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
  }

  /** The batches of a poison request crash with it, among them a popular content. */
  @Test
  void batchesOfPoisonRequestsAreNotQuarantined() {
    PoisonRequestSimulation run = run(2);
    run.startPopularRequests(100);
    run.startPoisonRequests(PoisonRequestSimulation.Kind.STREAM, 3);
    run.simulate(20_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
    assertThat(run.crashStats()).hasSize(3);
  }

  /**
   * Three simultaneous poison requests crash almost all engines within a second, and with them all
   * attempts of a popular content, which must not be quarantined with them.
   */
  @Test
  void batchesThatAllEndWithinSecondsAreNotHeld() {
    for (long seed = 1; seed <= 10; seed++) {
      PoisonRequestSimulation run = run(seed);
      run.startPopularRequests(100);
      run.startPoisonRequests(PoisonRequestSimulation.Kind.RESUMABLE, 3);
      run.simulate(20_000, LOAD_PER_SECOND);
      assertThat(run.harmlessRefused())
          .as("seed " + seed)
          .doesNotContainKey(RefusalReason.QUARANTINED);
    }
  }

  /**
   * Whole batches crash so fast that a popular content is quarantined together with the poison
   * requests.
   */
  @Test
  void falsePositiveIsReleasedAfterTrial() {
    PoisonRequestSimulation run = run(5);
    run.startPopularRequests(100);
    run.simulate(500, LOAD_PER_SECOND);
    run.setPopularPoisonous(true);
    run.simulate(10_000, LOAD_PER_SECOND);
    assertThat(run.popularRefused()).containsKey(RefusalReason.QUARANTINED);
    run.setPopularPoisonous(false);
    run.simulate(200_000, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(5_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).isEmpty();
  }

  /**
   * Connections lose answers: no engine crashes, but half of the running requests break repeatedly.
   */
  @Test
  void brokenConnectionsCauseNoLastingQuarantine() {
    PoisonRequestSimulation run = run(3);
    run.startPopularRequests(100);
    for (int i = 0; i < 20; i++) {
      run.breakConnections(0.5);
      run.simulate(200, LOAD_PER_SECOND);
    }
    run.simulate(3_000, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(3_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).isEmpty();
  }

  /**
   * No heartbeats of the engines arrive, as in a partition, while running requests break
   * repeatedly.
   */
  @Test
  void partitionFromEnginesCausesNoLastingQuarantine() {
    PoisonRequestSimulation run = run(4);
    run.startPopularRequests(100);
    run.dropHeartbeats(true);
    for (int i = 0; i < 20; i++) {
      run.breakConnections(1);
      run.simulate(200, LOAD_PER_SECOND);
    }
    run.dropHeartbeats(false);
    run.simulate(3_000, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(3_000, LOAD_PER_SECOND);
    assertThat(run.harmlessRefused()).isEmpty();
  }
}
