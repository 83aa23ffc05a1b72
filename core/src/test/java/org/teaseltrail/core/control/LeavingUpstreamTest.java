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

  private static int requestsAfterLeaving(BackpressureSimulation run) {
    return run.engines().stream().mapToInt(BackpressureEngine::requestsAfterLeaving).sum();
  }

  /** A VM learns from an answer that the upstream is leaving; it must not keep sending to it. */
  @ParameterizedTest
  @CsvSource({"1, 9, 8, 50", "2, 62, 98, 500"})
  void otherUpstreamsServeOnceVmIsInformed(long seed, int vms, int engines, double perSecond) {
    BackpressureSimulation run =
        BackpressureSimulation.createWarmedUp(seed, vms, engines, perSecond);
    run.engine(0).startLeaving();
    run.engine(1).startLeaving();
    run.simulate(LEAVING_MS, perSecond);
    assertThat(requestsAfterLeaving(run)).isZero();
    assertThat(run.servedShare()).isGreaterThan(0.97);
  }

  /**
   * The leader, which does not know that the upstream is leaving, grants its slots; VMs must not
   * use them.
   */
  @Test
  void grantsOfLeavingUpstreamAreNotUsed() {
    double overload = 1.3 * 8 * BatchEngine.SLOTS / 0.3;
    BackpressureSimulation run = BackpressureSimulation.createWarmedUp(3, 9, 8, overload);
    run.engine(0).startLeaving();
    run.engine(1).startLeaving();
    run.simulate(LEAVING_MS, overload);
    assertThat(requestsAfterLeaving(run)).isZero();
  }

  /**
   * The registration expires and is renewed; the VM must still know that the upstream is leaving.
   */
  @Test
  void leavingStateSurvivesExpiredRegistration() {
    BackpressureSimulation run = BackpressureSimulation.createWarmedUp(4, 9, 8, 50);
    run.engine(0).startLeaving();
    run.simulate(2_000, 50);
    run.dropHeartbeatsOf(run.engine(0), true);
    run.simulate(20_000, 50);
    run.dropHeartbeatsOf(run.engine(0), false);
    run.simulate(8_000, 50);
    assertThat(requestsAfterLeaving(run)).isZero();
  }
}
