package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A poison request that is retried under new ids at any entry VM crashes one engine after the
 * other, 14 within seconds, and callers of all kinds lose their streams with each engine. This
 * happens if the end of an attempt counts only against the upstream and no state is kept about the
 * request beyond one attempt or one VM. With a fingerprint of customer, path and body that is
 * remembered and shared between VMs, three engines crash and nothing is sent afterwards; without
 * either the memory or the sharing, this test fails.
 */
class PoisonRequestTest {

  /**
   * Dispatches that the requirements allow after three upstreams have crashed and all VMs had time
   * to know of it.
   */
  private static final int ALLOWED_SENDS = 3;

  private static final int FEW_VMS = 6;
  private static final double LOAD_PER_SECOND = 20;

  private static PoisonRequestSimulation run(long seed, int vms) {
    PoisonRequestSimulation run = new PoisonRequestSimulation(new SplittableRandom(seed), vms, 8);
    run.simulate(2_000, LOAD_PER_SECOND);
    return run;
  }

  /**
   * A request that crashes upstreams would be sent again and again if each VM judged each try
   * alone.
   */
  @ParameterizedTest
  @CsvSource({
    "STREAM, 6, 1",
    "STREAM, 6, 2",
    "RESUMABLE, 6, 3",
    "SAFE, 6, 4",
    "STREAM, 20, 5",
    "SAFE, 60, 6"
  })
  void requestThatCrashesUpstreamsIsQuarantined(
      PoisonRequestSimulation.Kind kind, int vms, long seed) {
    PoisonRequestSimulation run = run(seed, vms);
    run.startPoisonRequests(kind, 1);
    run.simulate(20_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** Guards against verified losses that are verified too late to stop the request. */
  @ParameterizedTest
  @CsvSource({
    "STREAM, 6, 8, 11",
    "RESUMABLE, 6, 8, 12",
    "SAFE, 6, 8, 13",
    "SAFE, 20, 8, 14",
    "STREAM, 6, 2, 15",
    "RESUMABLE, 6, 1, 16",
    "SAFE, 6, 1, 17"
  })
  void requestIsQuarantinedWherePathsAreMonitored(
      PoisonRequestSimulation.Kind kind, int vms, int engines, long seed) {
    PoisonRequestSimulation run =
        new PoisonRequestSimulation(new SplittableRandom(seed), vms, engines, true);
    run.simulate(2_000, LOAD_PER_SECOND);
    run.startPoisonRequests(kind, 1);
    run.simulate(30_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /**
   * The leader that recorded the crashes is killed, and VMs that observed them are restarted
   * without their state.
   */
  @Test
  void quarantineSurvivesRestartOfLeaderAndVms() {
    PoisonRequestSimulation run = run(7, FEW_VMS);
    run.startPoisonRequests(PoisonRequestSimulation.Kind.STREAM, 1);
    run.simulate(6_000, LOAD_PER_SECOND);
    FakeControlMember first = run.group().leader();
    first.kill();
    run.simulate(6_000, LOAD_PER_SECOND);
    run.group().restart(first);
    for (int vm = 0; vm < FEW_VMS; vm++) {
      run.restartVm(vm);
      run.simulate(1_000, LOAD_PER_SECOND);
    }
    run.simulate(4_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** A power loss restarts all components, which removes the observations held in memory. */
  @Test
  void quarantineSurvivesPowerLoss() {
    PoisonRequestSimulation run = run(8, FEW_VMS);
    run.startPoisonRequests(PoisonRequestSimulation.Kind.STREAM, 1);
    run.simulate(8_000, LOAD_PER_SECOND);
    run.losePower();
    run.simulate(12_000, LOAD_PER_SECOND);
    assertThat(run.sendsAfterDetection()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }
}
