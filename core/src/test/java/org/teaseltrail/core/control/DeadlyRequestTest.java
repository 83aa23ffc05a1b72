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
class DeadlyRequestTest {

  /**
   * Dispatches that the requirements allow after three upstreams have crashed and all VMs had time
   * to know of it.
   */
  private static final int ALLOWED_SENDS = 3;

  private static final int FEW_VMS = 6;
  private static final double LOAD_PER_SECOND = 20;

  private static DeadlyRequestRun run(long seed, int vms) {
    DeadlyRequestRun run = new DeadlyRequestRun(new SplittableRandom(seed), vms, 8);
    run.play(2_000, LOAD_PER_SECOND);
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
  void requestThatEndsUpstreamsIsStopped(DeadlyRequestRun.Kind kind, int vms, long seed) {
    DeadlyRequestRun run = run(seed, vms);
    run.askForDeadly(kind, 1);
    run.play(20_000, LOAD_PER_SECOND);
    assertThat(run.sendsOnceKnown()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /**
   * The leader that recorded the crashes is killed, and VMs that observed them are restarted
   * without their state.
   */
  @Test
  void itStaysStoppedWhenLeaderAndVmsStartAnew() {
    DeadlyRequestRun run = run(7, FEW_VMS);
    run.askForDeadly(DeadlyRequestRun.Kind.STREAM, 1);
    run.play(6_000, LOAD_PER_SECOND);
    FakeControl first = run.group().leader();
    first.kill();
    run.play(6_000, LOAD_PER_SECOND);
    run.group().restart(first);
    for (int vm = 0; vm < FEW_VMS; vm++) {
      run.restartVm(vm);
      run.play(1_000, LOAD_PER_SECOND);
    }
    run.play(4_000, LOAD_PER_SECOND);
    assertThat(run.sendsOnceKnown()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** A power loss restarts all components, which removes the observations held in memory. */
  @Test
  void itStaysStoppedWhenAllLosePower() {
    DeadlyRequestRun run = run(8, FEW_VMS);
    run.askForDeadly(DeadlyRequestRun.Kind.STREAM, 1);
    run.play(8_000, LOAD_PER_SECOND);
    run.losePower();
    run.play(12_000, LOAD_PER_SECOND);
    assertThat(run.sendsOnceKnown()).isLessThanOrEqualTo(ALLOWED_SENDS);
  }
}
