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

  private static BackpressureRun run(long seed) {
    return BackpressureRun.inCalm(seed, VMS, ENGINES, LOAD_PER_SECOND);
  }

  private static void assertBackoffsAreObeyed(BackpressureRun run) {
    for (AskingEngine engine : run.engines()) {
      assertThat(engine.mostInBackoff()).isLessThanOrEqualTo(ALLOWED_IN_BACKOFF);
    }
  }

  /**
   * An engine that rejects requests must not attract them, nor may callers be refused while others
   * are idle.
   */
  @ParameterizedTest
  @CsvSource({"1, 9, 8, 50, 3000", "2, 9, 8, 50, 1000", "3, 62, 98, 500, 3000"})
  void othersServeWhileSomeBackOff(
      long seed, int vms, int engines, double perSecond, int backoffMs) {
    BackpressureRun run = BackpressureRun.inCalm(seed, vms, engines, perSecond);
    run.engine(0).turnAway(backoffMs);
    run.engine(1).turnAway(backoffMs);
    run.play(REJECTING_MS, perSecond);
    assertBackoffsAreObeyed(run);
    assertThat(run.servedShare()).isGreaterThan(0.95);
  }

  /** Requests wait for slots, and the leader grants slots of an engine in backoff. */
  @Test
  void backoffIsKeptWhileLeaderHandsOutPlaces() {
    double overload = 1.3 * ENGINES * BatchEngine.PLACES / 0.3;
    BackpressureRun run = BackpressureRun.inCalm(4, VMS, ENGINES, overload);
    run.engine(0).turnAway(BACKOFF_MS);
    run.engine(1).turnAway(BACKOFF_MS);
    run.play(REJECTING_MS, overload);
    assertBackoffsAreObeyed(run);
    double servedBySix = 6.0 * BatchEngine.PLACES / 0.3;
    assertThat(run.served() / 9.0).isGreaterThan(0.85 * servedBySix);
  }

  /**
   * Heartbeats are lost, so the engine in backoff is removed; it registers again within its
   * backoff.
   */
  @Test
  void backoffOutlivesTheRegistration() {
    BackpressureRun run = run(5);
    run.engine(0).turnAway(40_000);
    run.play(2_000, LOAD_PER_SECOND);
    run.loseHeartbeatsOf(run.engine(0), true);
    run.play(20_000, LOAD_PER_SECOND);
    run.loseHeartbeatsOf(run.engine(0), false);
    run.play(8_000, LOAD_PER_SECOND);
    assertBackoffsAreObeyed(run);
  }

  /**
   * An engine must not be excluded for good after its backoff, nor be filled at once by all VMs.
   */
  @Test
  void engineIsBackAfterItsBackoff() {
    BackpressureRun run = run(6);
    AskingEngine engine = run.engine(0);
    engine.turnAway(BACKOFF_MS);
    run.play(REJECTING_MS, LOAD_PER_SECOND);
    engine.turnAway(0);
    run.play(6_000, LOAD_PER_SECOND);
    double equalShare = LOAD_PER_SECOND / ENGINES;
    assertThat(engine.perSecond(2_000, run.group().nowNs())).isGreaterThan(0.5 * equalShare);
  }

  /**
   * A caller that an engine rejected must not wait for long while other engines have spare
   * capacity.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void turnedAwayCallersAreServedOnTimeByOthers(long seed) {
    BackpressureRun run = run(seed);
    run.comeBackOnce();
    for (int round = 0; round < 3; round++) {
      run.engine(2 * round).turnAway(BACKOFF_MS);
      run.engine(2 * round + 1).turnAway(BACKOFF_MS);
      run.play(4_000, LOAD_PER_SECOND);
      run.engine(2 * round).turnAway(0);
      run.engine(2 * round + 1).turnAway(0);
      run.play(4_000, LOAD_PER_SECOND);
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
  void callersHearAtOnceWhenAllBackOff() {
    BackpressureRun run = run(7);
    run.engines().forEach(engine -> engine.turnAway(20_000));
    run.play(ALL_INFORMED_MS, LOAD_PER_SECOND);
    run.countAnew();
    run.play(2_000, LOAD_PER_SECOND);
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
