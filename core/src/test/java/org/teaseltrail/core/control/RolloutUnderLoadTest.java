package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.rollout.RolloutPhase;

/**
 * The load doubles during the traffic shift to a good version. Its engines are overloaded, and no
 * previous version receives requests in the same seconds for comparison, so the version is judged
 * to be slow.
 */
@Tag("known-red")
class RolloutUnderLoadTest {

  private static final int DURATION_MS = 12_000;
  private static final int WARM_UP_MS = 2_000;
  private static final int AFTERWARDS_MS = 3_000;
  private static final int VMS = 24;
  private static final int ENGINES = 42;
  private static final double PER_SECOND = 270;

  @ParameterizedTest
  @ValueSource(longs = {3, 11})
  void goodVersionIsCompletedThoughTheLoadDoublesWhileAllTurnToIt(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RolloutSimulation run =
        new RolloutSimulation(random.split(), VersionBehavior.GOOD, VMS, ENGINES, DURATION_MS);
    run.simulate(WARM_UP_MS, PER_SECOND);
    run.order();
    new RolloutFaultInjector(run, random).simulate(DURATION_MS, PER_SECOND);
    run.simulate(AFTERWARDS_MS, PER_SECOND);
    assertThat(run.rollout().phase()).isEqualTo(RolloutPhase.COMPLETED);
  }
}
