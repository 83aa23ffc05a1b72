package org.teaseltrail.core.rollout;

import java.util.List;

/**
 * Sequential change detector for a version that shows a symptom more often than tolerated.
 *
 * <p>It uses the Shiryaev-Roberts statistic over likelihood ratios (Shin, Ramdas and Rinaldo,
 * E-detectors, 2022). The statistic considers every point in time as a possible start of the
 * change. It can therefore be evaluated at any time, and it detects a fault that appears late as
 * quickly as one that is present from the start.
 */
final class ChangeDetector {

  /**
   * Alternative hypotheses: the share of bad answers of a faulty version, as positions between the
   * tolerated share (0) and all answers (1).
   */
  private static final List<Double> ALTERNATIVES = List.of(0.15, 0.35, 0.6, 0.9);

  /**
   * Value of the statistic at which a change is detected. A good version with a thousand observed
   * answers reaches it with a probability of at most one in a thousand.
   */
  private static final double DETECTION_THRESHOLD = 1e6;

  /** Value of the statistic that a good version reaches occasionally. */
  private static final double SUSPICION_THRESHOLD = 1e4;

  /** Upper bound of the statistic and the likelihood ratio, which prevents an overflow. */
  private static final double MAX_STATISTIC = 1e100;

  private final double[] statistics = new double[ALTERNATIVES.size()];

  /**
   * Updates the statistic with answers of the version.
   *
   * @param counts counts of the answers
   * @param tolerated share of bad answers that a good version may show
   */
  void update(AnswerCounts counts, double tolerated) {
    int good = counts.answers() - counts.bad();
    for (int i = 0; i < statistics.length; i++) {
      double assumed = tolerated + (1 - tolerated) * ALTERNATIVES.get(i);
      double ratio =
          StrictMath.pow(assumed / tolerated, counts.bad())
              * StrictMath.pow((1 - assumed) / (1 - tolerated), good);
      statistics[i] = Math.min(MAX_STATISTIC, (1 + statistics[i]) * Math.min(MAX_STATISTIC, ratio));
    }
  }

  /** Returns whether the version is found to be faulty. */
  boolean hasDetectedChange() {
    return mean() >= DETECTION_THRESHOLD;
  }

  /** Returns whether the evidence is strong enough that not all traffic should be shifted yet. */
  boolean isSuspicious() {
    return mean() >= SUSPICION_THRESHOLD;
  }

  private double mean() {
    double sum = 0;
    for (double statistic : statistics) {
      sum += statistic;
    }
    return sum / statistics.length;
  }
}
