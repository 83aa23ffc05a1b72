package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Harmless requests that run while upstreams crash or connections break must not be quarantined for
 * it. There are eight engines of four slots each; one crashes every 0.7 s, as often as one
 * restarts.
 */
class QuarantineInnocentsTest {

  private static final int VMS = 6;
  private static final int ENGINES = 8;
  private static final double LOAD_PER_SECOND = 30;

  private static DeadlyRequestRun run(long seed) {
    DeadlyRequestRun run = new DeadlyRequestRun(new SplittableRandom(seed), VMS, ENGINES);
    run.play(1_000, LOAD_PER_SECOND);
    run.countAnew();
    return run;
  }

  /** A content that is requested ten times a second is part of many batches that crash. */
  @Test
  void popularContentIsNotHeldWhenEnginesEndByThemselves() {
    DeadlyRequestRun run = run(1);
    run.askForPopular(100);
    run.endAtRandom(700);
    run.play(30_000, LOAD_PER_SECOND);
    assertThat(run.innocentRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
  }

  /** The batches of a poison request crash with it, among them a popular content. */
  @Test
  void batchesOfDeadlyRequestsAreNotHeldWithThem() {
    DeadlyRequestRun run = run(2);
    run.askForPopular(100);
    run.askForDeadly(DeadlyRequestRun.Kind.STREAM, 3);
    run.play(20_000, LOAD_PER_SECOND);
    assertThat(run.innocentRefused()).doesNotContainKey(RefusalReason.QUARANTINED);
    assertThat(run.harm()).hasSize(3);
  }

  /**
   * Three simultaneous poison requests crash almost all engines within a second, and with them all
   * attempts of a popular content, which is quarantined too until its trial.
   */
  @Test
  @Tag("known-red")
  void batchesThatAllEndWithinSecondsAreNotHeld() {
    for (long seed = 1; seed <= 10; seed++) {
      DeadlyRequestRun run = run(seed);
      run.askForPopular(100);
      run.askForDeadly(DeadlyRequestRun.Kind.RESUMABLE, 3);
      run.play(20_000, LOAD_PER_SECOND);
      assertThat(run.innocentRefused())
          .as("seed " + seed)
          .doesNotContainKey(RefusalReason.QUARANTINED);
    }
  }

  /**
   * Whole batches crash so fast that a popular content is quarantined together with the poison
   * requests.
   */
  @Test
  void whatIsHeldByMistakeIsTriedAndLetGo() {
    DeadlyRequestRun run = run(5);
    run.askForPopular(100);
    run.play(500, LOAD_PER_SECOND);
    run.askForDeadlyPopular(true);
    run.play(10_000, LOAD_PER_SECOND);
    assertThat(run.popularRefused()).containsKey(RefusalReason.QUARANTINED);
    run.askForDeadlyPopular(false);
    run.play(200_000, LOAD_PER_SECOND);
    run.countAnew();
    run.play(5_000, LOAD_PER_SECOND);
    assertThat(run.innocentRefused()).isEmpty();
  }

  /**
   * Connections lose answers: no engine crashes, but half of the running requests break repeatedly.
   */
  @Test
  void brokenConnectionsAloneHoldNothingForLong() {
    DeadlyRequestRun run = run(3);
    run.askForPopular(100);
    for (int i = 0; i < 20; i++) {
      run.breakOff(0.5);
      run.play(200, LOAD_PER_SECOND);
    }
    run.play(3_000, LOAD_PER_SECOND);
    run.countAnew();
    run.play(3_000, LOAD_PER_SECOND);
    assertThat(run.innocentRefused()).isEmpty();
  }

  /**
   * No heartbeats of the engines arrive, as in a partition, while running requests break
   * repeatedly.
   */
  @Test
  void cutFromTheEnginesHoldsNothingOnceItIsOver() {
    DeadlyRequestRun run = run(4);
    run.askForPopular(100);
    run.loseHeartbeats(true);
    for (int i = 0; i < 20; i++) {
      run.breakOff(1);
      run.play(200, LOAD_PER_SECOND);
    }
    run.loseHeartbeats(false);
    run.play(3_000, LOAD_PER_SECOND);
    run.countAnew();
    run.play(3_000, LOAD_PER_SECOND);
    assertThat(run.innocentRefused()).isEmpty();
  }
}
