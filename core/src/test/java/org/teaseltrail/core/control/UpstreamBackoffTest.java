package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two of eight engines that reject all requests for nine seconds, each time with a backoff of 3 s,
 * would receive up to 40 of 50 requests a second, and callers would be refused while six engines
 * work normally. This happens if only "not run" is read from the 503 response, because an engine
 * that rejects requests has no load and is selected first. With the backoff checked at the moment
 * of dispatch, no VM sends more than the requirements allow, and the other engines serve the
 * callers.
 */
class UpstreamBackoffTest {

  /** Requests of one VM during one backoff that the requirements allow. */
  private static final int ALLOWED_IN_BACKOFF = 2;

  private static final int BACKOFF_MS = 3_000;
  private static final int VMS = 9;
  private static final int ENGINES = 8;
  private static final double LOAD_PER_SECOND = 50;
  private static final int REJECTING_MS = 9_000;

  /** A tenth of the objective: time that a caller may lose if another engine serves it. */
  private static final long MAX_RETRY_DELAY_MS = 50;

  /** Time in which each VM has sent a request to each engine once. */
  private static final int ALL_INFORMED_MS = 3_500;

  private static BackpressureSimulation run(long seed) {
    return BackpressureSimulation.createWarmedUp(seed, VMS, ENGINES, LOAD_PER_SECOND);
  }

  private static void assertBackoffsAreObeyed(BackpressureSimulation run) {
    for (BackpressureEngine engine : run.engines()) {
      assertThat(engine.maxRequestsInBackoff()).isLessThanOrEqualTo(ALLOWED_IN_BACKOFF);
    }
  }

  /**
   * An engine that rejects requests must not attract them, nor may callers be refused while others
   * are idle.
   */
  @ParameterizedTest
  @CsvSource({"1, 9, 8, 50, 3000", "2, 9, 8, 50, 1000", "3, 62, 98, 500, 3000"})
  void otherEnginesServeDuringBackoff(
      long seed, int vms, int engines, double perSecond, int backoffMs) {
    BackpressureSimulation run =
        BackpressureSimulation.createWarmedUp(seed, vms, engines, perSecond);
    run.engine(0).rejectAll(backoffMs);
    run.engine(1).rejectAll(backoffMs);
    run.simulate(REJECTING_MS, perSecond);
    assertBackoffsAreObeyed(run);
    assertThat(run.servedShare()).isGreaterThan(0.95);
  }

  /** Requests wait for slots, and the leader grants slots of an engine in backoff. */
  @Test
  void backoffIsObeyedWhileLeaderGrantsSlots() {
    double overload = 1.3 * ENGINES * BatchEngine.SLOTS / 0.3;
    BackpressureSimulation run = BackpressureSimulation.createWarmedUp(4, VMS, ENGINES, overload);
    run.engine(0).rejectAll(BACKOFF_MS);
    run.engine(1).rejectAll(BACKOFF_MS);
    run.simulate(REJECTING_MS, overload);
    assertBackoffsAreObeyed(run);
    double servedBySix = 6.0 * BatchEngine.SLOTS / 0.3;
    assertThat(run.served() / 9.0).isGreaterThan(0.85 * servedBySix);
  }

  /**
   * Heartbeats are lost, so the engine in backoff is removed; it registers again within its
   * backoff.
   */
  @Test
  void backoffSurvivesExpiredRegistration() {
    BackpressureSimulation run = run(5);
    run.engine(0).rejectAll(40_000);
    run.simulate(2_000, LOAD_PER_SECOND);
    run.dropHeartbeatsOf(run.engine(0), true);
    run.simulate(20_000, LOAD_PER_SECOND);
    run.dropHeartbeatsOf(run.engine(0), false);
    run.simulate(8_000, LOAD_PER_SECOND);
    assertBackoffsAreObeyed(run);
  }

  /**
   * An engine must not be excluded for good after its backoff, nor be filled at once by all VMs.
   */
  @Test
  void engineRecoversItsShareAfterBackoff() {
    BackpressureSimulation run = run(6);
    BackpressureEngine engine = run.engine(0);
    engine.rejectAll(BACKOFF_MS);
    run.simulate(REJECTING_MS, LOAD_PER_SECOND);
    engine.rejectAll(0);
    run.simulate(6_000, LOAD_PER_SECOND);
    double equalShare = LOAD_PER_SECOND / ENGINES;
    assertThat(engine.perSecond(2_000, run.group().nowNs())).isGreaterThan(0.5 * equalShare);
  }

  /**
   * A caller that an engine rejected must not wait for long while other engines have spare
   * capacity.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void rejectedCallersAreServedOnTimeByOtherEngines(long seed) {
    BackpressureSimulation run = run(seed);
    run.retryRefusedOnce();
    for (int round = 0; round < 3; round++) {
      run.engine(2 * round).rejectAll(BACKOFF_MS);
      run.engine(2 * round + 1).rejectAll(BACKOFF_MS);
      run.simulate(4_000, LOAD_PER_SECOND);
      run.engine(2 * round).rejectAll(0);
      run.engine(2 * round + 1).rejectAll(0);
      run.simulate(4_000, LOAD_PER_SECOND);
    }
    assertThat(run.onTimeShare()).isGreaterThan(0.97);
    assertThat(run.refused())
        .isNotEmpty()
        .allSatisfy(refused -> assertThat(refused.retryAfterMs()).isLessThan(MAX_RETRY_DELAY_MS));
  }

  /**
   * All engines ask for a backoff longer than a caller can wait; callers must neither be held nor
   * receive a retry time that is too short.
   */
  @Test
  void callersAreRefusedAtOnceWhenAllBackOff() {
    BackpressureSimulation run = run(7);
    run.engines().forEach(engine -> engine.rejectAll(20_000));
    run.simulate(ALL_INFORMED_MS, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(2_000, LOAD_PER_SECOND);
    assertBackoffsAreObeyed(run);
    assertThat(run.refused()).isNotEmpty();
    assertThat(run.refused())
        .allSatisfy(
            refused -> {
              assertThat(refused.afterMs()).isLessThan(50);
              assertThat(refused.retryAfterMs()).isBetween(14_000L, 20_000L);
            });
  }
}
