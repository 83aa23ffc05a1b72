package org.teaseltrail.session;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Runs random sessions with fresh seeds for {@code -Dteaseltrail.longrun.minutes} and reports the
 * seed of a session that fails. {@code -Dteaseltrail.longrun.seed} repeats only the session of that
 * seed.
 */
@Tag("long-run")
class LongRunTest {

  private static final int MINUTES = Integer.getInteger("teaseltrail.longrun.minutes", 15);
  private static final Long SEED = Long.getLong("teaseltrail.longrun.seed");

  @Test
  void guaranteesHoldUnderFaultsWithFreshSeeds() {
    if (SEED != null) {
      run(SEED);
      return;
    }
    SplittableRandom seeds = new SplittableRandom();
    Map<Fault, Integer> struck = new EnumMap<>(Fault.class);
    long endNs = System.nanoTime() + Duration.ofMinutes(MINUTES).toNanos();
    int runs = 0;
    while (System.nanoTime() < endNs) {
      run(seeds.nextLong()).forEach((fault, count) -> struck.merge(fault, count, Integer::sum));
      runs++;
    }
    System.out.println("runs " + runs + ", faults " + struck);
  }

  private static Map<Fault, Integer> run(long seed) {
    RandomSession session = new RandomSession(seed);
    try {
      session.run();
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError("random session of seed " + seed + " failed: " + e.getMessage(), e);
    }
    return session.injectedFaults();
  }
}
