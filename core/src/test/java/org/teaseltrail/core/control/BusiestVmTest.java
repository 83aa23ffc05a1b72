package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.TestPlans;

/** Most callers connect to the same entry VM for some seconds. */
class BusiestVmTest {

  /** Share of their former success that first tries keep, as the users require. */
  private static final double REQUIRED_SHARE = 0.75;

  /** Time until a VM that suddenly has most callers serves them. */
  private static final int PROPAGATION_MS = 3_000;

  private static final int MEASURED_MS = 8_000;
  private static final double BUSIEST_SHARE = 0.85;

  /** Tokens of a request of the simulation, on average. */
  private static final double MEAN_TOKENS = 5_100;

  /** Guards against slots that belong to VMs which no caller connects to. */
  @ParameterizedTest
  @CsvSource({"OFF, 0.6, 1", "OFF, 0.8, 2", "ON, 0.6, 3", "ON, 0.8, 4", "ON, 0.95, 5"})
  void busiestVmGetsTheSlotsOfTheOthers(FeatureMode features, double load, long seed) {
    assertThatFirstTriesAreServed(TestPlans.plan(1), features, load, seed);
  }

  /** Guards against a customer's quota of which other VMs keep their parts. */
  @ParameterizedTest
  @CsvSource({"OFF, 0.7, 11", "ON, 0.7, 12"})
  void busiestVmGetsTheQuotaOfTheOthers(FeatureMode features, double usedShare, long seed) {
    double load = 0.6;
    double perSecond = load * simulation(TestPlans.plan(1), features, seed).perSecond();
    double quota = perSecond * MEAN_TOKENS / usedShare;
    ServingPlan plan = TestPlans.plan(1, TestPlans.customer(TestPlans.KEY, quota));
    assertThatFirstTriesAreServed(plan, features, load, seed);
  }

  private static void assertThatFirstTriesAreServed(
      ServingPlan plan, FeatureMode features, double load, long seed) {
    ServingSimulation run = simulation(plan, features, seed);
    double perSecond = load * run.perSecond();
    run.simulate(PROPAGATION_MS, perSecond);
    run.resetCounters();
    run.simulate(MEASURED_MS, perSecond);
    final double before = run.servedFirstTries();
    run.sendMostTo(1, BUSIEST_SHARE);
    run.simulate(PROPAGATION_MS, perSecond);
    run.resetCounters();
    run.simulate(MEASURED_MS, perSecond);
    assertThat(run.servedFirstTries())
        .as("%s instead of %s", run.refused(), before)
        .isGreaterThanOrEqualTo(REQUIRED_SHARE * before);
  }

  private static ServingSimulation simulation(ServingPlan plan, FeatureMode features, long seed) {
    ContentionSettings contention = new ContentionSettings(features, features, features, features);
    return new ServingSimulation(new SplittableRandom(seed), plan, contention);
  }
}
