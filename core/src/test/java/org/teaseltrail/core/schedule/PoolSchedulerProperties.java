package org.teaseltrail.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;

/**
 * Properties of the scheduler that are checked on random sessions: its own invariants hold, every
 * request is answered in the end, and none is granted after its end or refused while it runs.
 */
class PoolSchedulerProperties {

  private static final int STEPS = 600;

  @Property(seed = "20261202", tries = 60, shrinking = ShrinkingMode.OFF)
  void everyPromiseHoldsThroughRandomSessions(@ForAll long seed) {
    RandomSession session = new RandomSession(seed);
    session.run(STEPS);
    assertThat(session.grants()).isPositive();
  }

  @Tag("long-run")
  @Property(tries = 3_000, shrinking = ShrinkingMode.OFF)
  void everyPromiseHoldsThroughManyRandomSessions(@ForAll long seed) {
    new RandomSession(seed).run(STEPS);
  }
}
