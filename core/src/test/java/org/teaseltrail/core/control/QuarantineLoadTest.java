package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.forward.RefusalReason;

/**
 * Several poison requests crash engines, each of which also runs a content that is requested often.
 * The popular content must not be quarantined for it, and each poison request must be stopped. The
 * system property {@code quarantineSeeds} sets the number of runs of each kind of route.
 */
class QuarantineLoadTest {

  private static final int ALLOWED_SENDS = 3;
  private static final int SEEDS = Integer.getInteger("quarantineSeeds", 1);
  private static final double LOAD_PER_SECOND = 30;
  private static final int WARM_UP_MS = 1_000;
  private static final int RUN_MS = 20_000;

  /** Guards against refusals of a content because it ran wherever an engine crashed. */
  @ParameterizedTest
  @CsvSource({
    "1, 6, 8, 100, false",
    "3, 6, 8, 100, false",
    "3, 6, 8, 100, true",
    "3, 9, 5, 100, false",
    "5, 6, 8, 100, false",
    "5, 6, 8, 100, true",
    "3, 6, 8, 25, false",
    "3, 30, 40, 25, true"
  })
  void onlyPoisonRequestsAreRefused(
      int poisonContents, int vms, int engines, int popularIntervalMs, boolean arePathsMonitored) {
    for (PoisonRequestSimulation.Kind kind : PoisonRequestSimulation.Kind.values()) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        PoisonRequestSimulation run =
            new PoisonRequestSimulation(
                new SplittableRandom(seed), vms, engines, arePathsMonitored);
        run.simulate(WARM_UP_MS, LOAD_PER_SECOND);
        run.resetCounters();
        run.startPopularRequests(popularIntervalMs);
        run.startPoisonRequests(kind, poisonContents);
        run.simulate(RUN_MS, LOAD_PER_SECOND);
        String name = kind + ", seed " + seed;
        assertThat(run.harmlessRefused()).as(name).doesNotContainKey(RefusalReason.QUARANTINED);
        assertThat(run.crashStats().values())
            .as(name)
            .allMatch(stats -> stats.sendsAfterDetection() <= ALLOWED_SENDS);
      }
    }
  }
}
