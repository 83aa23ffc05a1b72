package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.rollout.RolloutPhase;

/**
 * Rollouts of a service with few requests: a canary of about eight requests a second provides too
 * little data on a version that becomes slow late, or is slow on one route only, before the traffic
 * shift.
 */
@Tag("known-red")
class RolloutWithFewRequestsTest {

  private static final int DURATION_MS = 12_000;
  private static final int WARM_UP_MS = 2_000;
  private static final int AFTERWARDS_MS = 3_000;
  private static final int VMS = 12;
  private static final int ENGINES = 14;
  private static final double PER_SECOND = 90;

  @ParameterizedTest
  @CsvSource({
    "SLOW_LATE,1",
    "SLOW_LATE,11",
    "SLOW_LATE,21",
    "SLOW_ON_ONE_ROUTE,10",
    "SLOW_ON_ONE_ROUTE,23"
  })
  void badVersionIsRolledBackWithinItsBounds(VersionBehavior bad, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RolloutSimulation run = new RolloutSimulation(random.split(), bad, VMS, ENGINES, DURATION_MS);
    run.simulate(WARM_UP_MS, PER_SECOND);
    run.order();
    run.simulate(DURATION_MS + AFTERWARDS_MS, PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat((double) run.exposed()).isLessThanOrEqualTo(run.allowed());
  }
}
