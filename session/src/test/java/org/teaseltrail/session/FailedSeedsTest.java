package org.teaseltrail.session;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the random sessions again that once showed a fault. */
class FailedSeedsTest {

  /**
   * Seed 3137811655120930206: an upstream leaves while an entry VM is frozen. The VM thaws, reads
   * an older announcement as new, and a new leader that hears it first gives the upstream work 4.2
   * s after it left.
   */
  @ParameterizedTest
  @ValueSource(longs = {3137811655120930206L})
  void keepsItsPromises(long seed) {
    new RandomSession(seed).run();
  }
}
