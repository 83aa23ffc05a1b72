package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutPhase;

/** Prints statistics of rollouts of good and bad versions over many seeds. */
@Tag("long-run")
class RolloutStudyTest {

  private static final int SEEDS = Integer.getInteger("rolloutSeeds", 200);
  private static final int DURATION_MS = Integer.getInteger("rolloutMs", 12_000);
  private static final double RATE = Integer.getInteger("rolloutRate", 90);
  private static final int VMS = Integer.getInteger("rolloutVms", 12);
  private static final int ENGINES = Integer.getInteger("rolloutEngines", 14);
  private static final String ONLY = System.getProperty("rolloutBad", "");
  private static final int AFTERWARDS_MS = 3_000;
  private static final int WARM_UP_MS = 2_000;
  private static final boolean FAULTS = Boolean.getBoolean("rolloutFaults");

  private final Map<RolloutPhase, Integer> ends = new EnumMap<>(RolloutPhase.class);
  private final List<Long> sentAfterMs = new ArrayList<>();
  private final List<Long> lastSentMs = new ArrayList<>();
  private int overExposed;
  private int misjudged;
  private double servedShare;

  @ParameterizedTest
  @EnumSource(VersionBehavior.class)
  void study(VersionBehavior bad) {
    Assumptions.assumeTrue(ONLY.isEmpty() || ONLY.contains(bad.name()));
    for (int seed = 0; seed < SEEDS; seed++) {
      play(bad, seed);
    }
    Collections.sort(sentAfterMs);
    Collections.sort(lastSentMs);
    System.out.printf(
        "%s %s faults %s: %s, judged wrongly %d, over the limit %d,"
            + " last sent after the 50th bad answer p50 %d p99 %d max %d ms,"
            + " after the order p50 %d max %d ms, served %.4f%n",
        bad,
        SEEDS,
        FAULTS,
        ends,
        misjudged,
        overExposed,
        percentile(sentAfterMs, 0.5),
        percentile(sentAfterMs, 0.99),
        percentile(sentAfterMs, 1),
        percentile(lastSentMs, 0.5),
        percentile(lastSentMs, 1),
        servedShare / SEEDS);
  }

  private void play(VersionBehavior bad, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RolloutSimulation run = new RolloutSimulation(random.split(), bad, VMS, ENGINES, DURATION_MS);
    run.simulate(WARM_UP_MS, RATE);
    run.order();
    if (FAULTS) {
      new RolloutFaultInjector(run, random).simulate(DURATION_MS, RATE);
    } else {
      run.simulate(DURATION_MS, RATE);
    }
    run.simulate(AFTERWARDS_MS, RATE);
    Rollout rollout = run.rollout();
    ends.merge(rollout.phase(), 1, Integer::sum);
    boolean over = bad.isBad() && run.exposed() > run.allowed();
    overExposed += over ? 1 : 0;
    boolean wrong = bad.isBad() != (rollout.phase() == RolloutPhase.ROLLED_BACK);
    misjudged += wrong ? 1 : 0;
    if (wrong || over) {
      System.out.println(
          "  seed "
              + seed
              + ": "
              + rollout.phase()
              + ", "
              + rollout.reason()
              + ", "
              + run.exposed()
              + " of "
              + run.reached()
              + ", bad "
              + run.badAnswers());
    }
    sentAfterMs.add(run.exposureAfterDetectionMs());
    lastSentMs.add(run.lastExposedMs());
    servedShare += run.servedShare();
  }

  private static long percentile(List<Long> sorted, double part) {
    return sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()));
  }
}
