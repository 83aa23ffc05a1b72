package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutPhase;

/**
 * Rollouts of versions that fail at once go on while leaders, VMs and engines fail at random and
 * load swings. The promises: the version gets no more than its part, is left within seconds, and
 * what the record says at its end is what it says for good.
 */
class RolloutProperties {

  private static final int DURATION_MS = 12_000;
  private static final int SETTLE_MS = 5_000;
  private static final int LEFT_WITHIN_MS = 5_000;
  private static final double PER_SECOND = 90;

  @Property(seed = "32", tries = 8)
  void failingVersionHarmsFewRequestsWhateverElseFails(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  /** Takes a fresh seed each time; jqwik prints the one that failed. */
  @Tag("long-run")
  @Property(tries = 300)
  void failingVersionHarmsFewRequestsWhateverElseFailsForLong(@ForAll long seed) {
    run(new SplittableRandom(seed));
  }

  private static void run(SplittableRandom random) {
    RolloutRun run = new RolloutRun(random.split(), BadVersion.FAILS, 12, 14, DURATION_MS);
    run.play(2_000, PER_SECOND);
    run.order();
    new RolloutFaults(run, random).play(DURATION_MS, PER_SECOND);
    run.play(SETTLE_MS, PER_SECOND);
    assertThat((double) run.exposed()).isLessThanOrEqualTo(run.allowed());
    assertThat(run.sentAfterCountedMs()).isLessThanOrEqualTo(LEFT_WITHIN_MS);
    Rollout ended = run.rollout();
    assertThat(ended.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    run.losePower();
    run.play(SETTLE_MS, PER_SECOND);
    assertThat(run.rollout()).isEqualTo(ended);
  }
}
