package org.teaseltrail.load.workload;

import java.util.random.RandomGenerator;

/**
 * Is a log-normal distribution of lengths, cut at both ends. Requests of one kind differ a
 * hundredfold in length (users' brief), which a normal distribution would not show.
 *
 * @param minTokens the least length
 * @param medianTokens the median before the cut
 * @param maxTokens the greatest length
 * @param sigma standard deviation of the logarithm
 */
public record LengthSpec(int minTokens, int medianTokens, int maxTokens, double sigma) {

  /** Checks the order of the bounds. */
  public LengthSpec {
    if (minTokens < 1 || medianTokens < minTokens || maxTokens < medianTokens || sigma < 0) {
      throw new InvalidWorkloadException("length bounds are not in order");
    }
  }

  /** Draws a length. */
  public int draw(RandomGenerator random) {
    double tokens = medianTokens * Math.exp(sigma * random.nextGaussian());
    return (int) Math.max(minTokens, Math.min(maxTokens, Math.round(tokens)));
  }
}
