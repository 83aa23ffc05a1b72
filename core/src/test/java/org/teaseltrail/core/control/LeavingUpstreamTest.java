package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Upstreams that say in their answers that they are about to leave, while their heartbeats still
 * say nothing of it: a VM that was told goes on sending, and callers are cut off at the end.
 */
class LeavingUpstreamTest {

  private static final int LEAVING_MS = 8_000;

  private static int takenAfterLeaving(BackpressureRun run) {
    return run.engines().stream().mapToInt(AskingEngine::takenAfterLeaving).sum();
  }

  /** A VM knows of the leaving from an answer and goes on. */
  @ParameterizedTest
  @CsvSource({"1, 9, 8, 50", "2, 62, 98, 500"})
  void othersServeOnceVmKnows(long seed, int vms, int engines, double perSecond) {
    BackpressureRun run = BackpressureRun.inCalm(seed, vms, engines, perSecond);
    run.engine(0).leave();
    run.engine(1).leave();
    run.play(LEAVING_MS, perSecond);
    assertThat(takenAfterLeaving(run)).isZero();
    assertThat(run.servedShare()).isGreaterThan(0.97);
  }

  /** The leader, which has not heard of the leaving, hands its places out. */
  @Test
  void grantsOfLeavingUpstreamAreNotUsed() {
    double moreThanFits = 1.3 * 8 * BatchEngine.PLACES / 0.3;
    BackpressureRun run = BackpressureRun.inCalm(3, 9, 8, moreThanFits);
    run.engine(0).leave();
    run.engine(1).leave();
    run.play(LEAVING_MS, moreThanFits);
    assertThat(takenAfterLeaving(run)).isZero();
  }

  /** The registration lapses and comes back, and what was known with it. */
  @Test
  void leavingOutlivesTheRegistration() {
    BackpressureRun run = BackpressureRun.inCalm(4, 9, 8, 50);
    run.engine(0).leave();
    run.play(2_000, 50);
    run.loseHeartbeatsOf(run.engine(0), true);
    run.play(20_000, 50);
    run.loseHeartbeatsOf(run.engine(0), false);
    run.play(8_000, 50);
    assertThat(takenAfterLeaving(run)).isZero();
  }
}
