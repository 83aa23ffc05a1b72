package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Upstreams announce in their answers that they are about to leave while their heartbeats don't say
 * so yet. If an informed VM kept sending to them, callers would lose their streams when the
 * upstreams stop.
 */
class LeavingUpstreamTest {

  private static final int LEAVING_MS = 8_000;

  private static int requestsAfterLeaving(BackpressureRun run) {
    return run.engines().stream().mapToInt(AskingEngine::takenAfterLeaving).sum();
  }

  /** A VM learns from an answer that the upstream is leaving; it must not keep sending to it. */
  @ParameterizedTest
  @CsvSource({"1, 9, 8, 50", "2, 62, 98, 500"})
  void othersServeOnceVmKnows(long seed, int vms, int engines, double perSecond) {
    BackpressureRun run = BackpressureRun.inCalm(seed, vms, engines, perSecond);
    run.engine(0).leave();
    run.engine(1).leave();
    run.play(LEAVING_MS, perSecond);
    assertThat(requestsAfterLeaving(run)).isZero();
    assertThat(run.servedShare()).isGreaterThan(0.97);
  }

  /**
   * The leader, which does not know that the upstream is leaving, grants its slots; VMs must not
   * use them.
   */
  @Test
  void grantsOfLeavingUpstreamAreNotUsed() {
    double overload = 1.3 * 8 * BatchEngine.PLACES / 0.3;
    BackpressureRun run = BackpressureRun.inCalm(3, 9, 8, overload);
    run.engine(0).leave();
    run.engine(1).leave();
    run.play(LEAVING_MS, overload);
    assertThat(requestsAfterLeaving(run)).isZero();
  }

  /**
   * The registration expires and is renewed; the VM must still know that the upstream is leaving.
   */
  @Test
  void leavingOutlivesTheRegistration() {
    BackpressureRun run = BackpressureRun.inCalm(4, 9, 8, 50);
    run.engine(0).leave();
    run.play(2_000, 50);
    run.loseHeartbeatsOf(run.engine(0), true);
    run.play(20_000, 50);
    run.loseHeartbeatsOf(run.engine(0), false);
    run.play(8_000, 50);
    assertThat(requestsAfterLeaving(run)).isZero();
  }
}
