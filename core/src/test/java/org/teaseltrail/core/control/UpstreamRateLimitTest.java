package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.backpressure.RateLimit;

/**
 * Two engines that report a limit of 1.6 requests a second for all VMs together would receive up to
 * 29 in 4 s if each entry VM that reads the limit kept sending as before and no component enforced
 * it over all VMs. Each request to a rate-limited engine requires a permit of the leader, so that
 * the limit holds for any number of VMs.
 */
class UpstreamRateLimitTest {

  private static final int VMS = 9;
  private static final int ENGINES = 8;
  private static final double LOAD_PER_SECOND = 50;
  private static final int LIMITED_MS = 16_000;
  private static final RateLimit LIMIT = new RateLimit(1.6);

  private static BackpressureSimulation run(long seed) {
    return BackpressureSimulation.createWarmedUp(seed, VMS, ENGINES, LOAD_PER_SECOND);
  }

  private static void assertWithinLimits(BackpressureSimulation run) {
    for (BackpressureEngine engine : run.engines()) {
      assertThat((double) engine.maxInWindow()).isLessThanOrEqualTo(engine.allowedInWindow());
    }
  }

  /**
   * An engine that accepts a limited rate from all VMs together must not receive that rate or more
   * from each of them.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 1.6, 9, 8, 50",
    "2, 0.3, 9, 8, 50",
    "3, 0, 9, 8, 50",
    "4, 6, 9, 8, 50",
    "5, 1.6, 62, 98, 500"
  })
  void limitHoldsOverAllVms(long seed, double limit, int vms, int engines, double perSecond) {
    BackpressureSimulation run =
        BackpressureSimulation.createWarmedUp(seed, vms, engines, perSecond);
    run.engine(0).name(new RateLimit(limit));
    run.engine(1).name(new RateLimit(limit));
    run.simulate(LIMITED_MS, perSecond);
    assertWithinLimits(run);
    assertThat(run.servedShare()).isGreaterThan(0.97);
  }

  /** VMs that restart, are partitioned or follow a new leader must not each start a new count. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void limitHoldsWhileVmsAndLeaderChange(long seed) {
    BackpressureSimulation run = run(seed);
    run.engine(0).name(LIMIT);
    run.engine(1).name(LIMIT);
    run.simulate(4_000, LOAD_PER_SECOND);
    run.restartVm(1);
    run.simulate(1_000, LOAD_PER_SECOND);
    FakeControlMember first = run.group().leader();
    first.kill();
    run.simulate(4_000, LOAD_PER_SECOND);
    run.group().restart(first);
    run.setVmPartitioned(2, true);
    run.simulate(3_000, LOAD_PER_SECOND);
    run.setVmPartitioned(2, false);
    run.restartVm(0);
    run.group().leader().pause();
    run.simulate(4_000, LOAD_PER_SECOND);
    assertWithinLimits(run);
  }

  /**
   * A limit that is not used up, or one that is kept after the engine withdrew it, would waste
   * slots.
   */
  @Test
  void rateLimitedEngineIsUsedAndRecoversFullShare() {
    BackpressureSimulation run = run(6);
    BackpressureEngine engine = run.engine(0);
    engine.name(LIMIT);
    run.simulate(LIMITED_MS, LOAD_PER_SECOND);
    assertThat(engine.perSecond(10_000, run.group().nowNs()))
        .isBetween(0.5 * LIMIT.perSecond(), 1.2 * LIMIT.perSecond());
    engine.name(RateLimit.UNLIMITED);
    run.simulate(5_000, LOAD_PER_SECOND);
    double equalShare = LOAD_PER_SECOND / ENGINES;
    assertThat(engine.perSecond(2_000, run.group().nowNs())).isGreaterThan(0.5 * equalShare);
  }

  /**
   * Many VMs with few callers receive permits that they don't use; they must not spend all of them
   * in a burst.
   */
  @Test
  void unusedPermitsAreNotAllSpentInBurst() {
    int vms = 62;
    BackpressureSimulation run = BackpressureSimulation.createWarmedUp(9, vms, 12, 20);
    BackpressureEngine engine = run.engine(0);
    engine.name(new RateLimit(6));
    run.simulate(20_000, 20);
    run.simulate(1_500, 500);
    assertThat((double) engine.maxOfAllVmsInWindow(10_000, run.group().nowNs()))
        .isLessThanOrEqualTo(engine.allowedInWindow());
  }

  /**
   * An engine that reported a limit of 0 must not be excluded forever because no request is sent to
   * it.
   */
  @Test
  void engineWithZeroLimitRecoversItsShare() {
    BackpressureSimulation run = run(7);
    BackpressureEngine engine = run.engine(0);
    engine.name(new RateLimit(0));
    run.simulate(LIMITED_MS, LOAD_PER_SECOND);
    engine.name(RateLimit.UNLIMITED);
    run.simulate(8_000, LOAD_PER_SECOND);
    double equalShare = LOAD_PER_SECOND / ENGINES;
    assertThat(engine.perSecond(2_000, run.group().nowNs())).isGreaterThan(0.5 * equalShare);
  }

  /** All engines are rate-limited at once; the rate that they still accept must be used. */
  @Test
  void capacityIsUsedWhenAllEnginesAreRateLimited() {
    BackpressureSimulation run = run(8);
    run.engines().forEach(engine -> engine.name(new RateLimit(2)));
    run.simulate(5_000, LOAD_PER_SECOND);
    run.resetCounters();
    run.simulate(10_000, LOAD_PER_SECOND);
    assertWithinLimits(run);
    double accepted = 2.0 * ENGINES;
    assertThat(run.served() / 10.0).isGreaterThan(0.7 * accepted);
  }
}
