package org.teaseltrail.load.workload;

import java.util.random.RandomGenerator;

/**
 * Log-normal distribution of lengths, clamped at both ends. The lengths of requests of one kind
 * differ by a factor of 100 according to the requirements, which a normal distribution would not
 * reproduce.
 *
 * @param minTokens the minimum length
 * @param medianTokens the median before clamping
 * @param maxTokens the maximum length
 * @param sigma standard deviation of the logarithm
 */
public record LengthSpec(int minTokens, int medianTokens, int maxTokens, double sigma) {

  /**
   * Creates the distribution.
   *
   * @throws InvalidWorkloadException if the bounds are out of order or sigma is negative
   */
  public LengthSpec {
    if (minTokens < 1 || medianTokens < minTokens || maxTokens < medianTokens || sigma < 0) {
      throw new InvalidWorkloadException(
          "min_tokens, median_tokens, max_tokens must be ascending and >= 1, sigma must be >= 0");
    }
  }

  /** Samples a length. */
  public int sample(RandomGenerator random) {
    double tokens = medianTokens * Math.exp(sigma * random.nextGaussian());
    return (int) Math.max(minTokens, Math.min(maxTokens, Math.round(tokens)));
  }
}
