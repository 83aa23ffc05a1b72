package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutPhase;

/**
 * Rollouts of versions that fail immediately run while leaders, VMs and engines fail at random and
 * the load varies. The target version must not receive more than its share, must receive no
 * requests some seconds after its failures are known, and the final state of the rollout must not
 * change any more.
 */
class RolloutProperties {

  private static final int DURATION_MS = 12_000;
  private static final int SETTLE_MS = 5_000;
  private static final int STOP_WITHIN_MS = 5_000;
  private static final double PER_SECOND = 90;

  @Property(seed = "32", tries = 8)
  void failingVersionIsContainedUnderFaults(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Runs with a fresh seed each time; jqwik prints the seed of a failure. */
  @Tag("long-run")
  @Property(tries = 300)
  void failingVersionIsContainedUnderFaultsWithFreshSeeds(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    RolloutSimulation run =
        new RolloutSimulation(random.split(), VersionBehavior.FAILS, 12, 14, DURATION_MS);
    run.simulate(2_000, PER_SECOND);
    run.order();
    new RolloutFaultInjector(run, random).simulate(DURATION_MS, PER_SECOND);
    run.simulate(SETTLE_MS, PER_SECOND);
    assertThat((double) run.exposed()).isLessThanOrEqualTo(run.allowed());
    assertThat(run.exposureAfterDetectionMs()).isLessThanOrEqualTo(STOP_WITHIN_MS);
    Rollout ended = run.rollout();
    assertThat(ended.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    run.losePower();
    run.simulate(SETTLE_MS, PER_SECOND);
    assertThat(run.rollout()).isEqualTo(ended);
  }
}
