package org.teaseltrail.load.workload;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.teaseltrail.core.message.RequestKind;

/**
 * Computes the arrival rate of each kind at load 1.0, which is the capacity of the pool if all
 * batches are full and each prefix is processed only once.
 */
public final class PoolCapacity {

  private static final int SAMPLES = 2_000;
  private static final long SAMPLE_SEED = 1;
  private static final double NS_PER_SECOND = 1e9;

  private final Deployment deployment;

  /** Creates the calculator for a deployment. */
  public PoolCapacity(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Returns the arrival rate of a kind at load 1.0, in requests per second. */
  public double ratePerSecond(KindSpec kind) {
    if (kind.target() == RequestKind.SERVICE_CALL) {
      return kind.workShare();
    }
    // Each engine serves every kind at the rate that its speed allows, so the rate of the pool is
    // the sum of the engines' rates.
    Means means = means(kind);
    double ratePerSecond = 0;
    for (EngineSpec engine : deployment.engines()) {
      double costMs =
          means.prefillTokens() * engine.costMs(1, 0) + means.outputTokens() * engine.costMs(0, 1);
      ratePerSecond += 1_000 / costMs;
    }
    return ratePerSecond * kind.workShare() / workShares();
  }

  private double workShares() {
    return deployment.kinds().stream()
        .filter(k -> k.target() == RequestKind.GENERATION)
        .mapToDouble(KindSpec::workShare)
        .sum();
  }

  private Means means(KindSpec kind) {
    RequestGenerator drawer =
        new RequestGenerator(deployment, kind, new SplittableRandom(SAMPLE_SEED));
    Set<Long> seen = new HashSet<>();
    double prefillTokens = 0;
    double outputTokens = 0;
    for (int i = 0; i < SAMPLES; i++) {
      PlannedRequest request = drawer.generate((long) (i * NS_PER_SECOND));
      long cachedBlocks = request.prompt().blocks().stream().filter(b -> !seen.add(b)).count();
      prefillTokens += request.prompt().tokens() - cachedBlocks * Prompt.BLOCK_TOKENS;
      outputTokens += request.outputTokens();
    }
    return new Means(prefillTokens / SAMPLES, outputTokens / SAMPLES);
  }

  private record Means(double prefillTokens, double outputTokens) {}
}
