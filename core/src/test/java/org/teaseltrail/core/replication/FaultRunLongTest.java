package org.teaseltrail.core.replication;

import java.security.SecureRandom;
import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Runs the faults of {@link FaultRunProperties} with new random seeds for the time given by the
 * system property {@code longRunMinutes}. A failure reports its seed; {@code longRunSeed} repeats
 * the run.
 */
@Tag("long-run")
class FaultRunLongTest {

  private static final int STEPS = 500;

  @Test
  void staysConsistentWithFreshSeeds() {
    Long repeated = Long.getLong("longRunSeed");
    if (repeated != null) {
      run(repeated);
      return;
    }
    long endNs =
        System.nanoTime() + Duration.ofMinutes(Long.getLong("longRunMinutes", 15)).toNanos();
    SecureRandom seeds = new SecureRandom();
    int runs = 0;
    while (System.nanoTime() < endNs) {
      run(seeds.nextLong());
      runs++;
    }
    System.out.println("runs without a fault: " + runs);
  }

  private static void run(long seed) {
    try {
      new FaultRun(seed).run(STEPS);
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError("repeat with -DlongRunSeed=" + seed, e);
    }
  }
}
