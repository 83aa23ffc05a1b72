package org.teaseltrail.core.rollout;

import java.util.List;

/**
 * Weighs the evidence that a version shows a symptom more often than is tolerated. It begins anew
 * at each moment, so that it may be looked at at any time and finds what begins late as soon as
 * what was there at once (Shiryaev-Roberts statistic over likelihood ratios; Shin, Ramdas and
 * Rinaldo, E-detectors, 2022).
 */
final class ChangeDetector {

  /** Parts of the way from the tolerated share to all that a bad version is thought to be at. */
  private static final List<Double> BAD_PARTS = List.of(0.15, 0.35, 0.6, 0.9);

  /**
   * Evidence at which it is alarmed. A good version of which a thousand answers are looked at comes
   * to it in one case of a thousand at most.
   */
  private static final double ALARM = 1e6;

  /** Evidence that a good version comes to now and then. */
  private static final double SUSPICION = 1e4;

  /** Keeps the evidence within the range of a number once it is overwhelming. */
  private static final double MOST = 1e100;

  private final double[] evidence = new double[BAD_PARTS.size()];

  /**
   * Takes some answers of the version in.
   *
   * @param trials the answers
   * @param tolerated share that would be no sign against the version
   */
  void update(AnswerCounts trials, double tolerated) {
    int good = trials.answers() - trials.bad();
    for (int i = 0; i < evidence.length; i++) {
      double assumed = tolerated + (1 - tolerated) * BAD_PARTS.get(i);
      double ratio =
          Math.pow(assumed / tolerated, trials.bad())
              * Math.pow((1 - assumed) / (1 - tolerated), good);
      evidence[i] = Math.min(MOST, (1 + evidence[i]) * Math.min(MOST, ratio));
    }
  }

  /** Tells whether the version is bad. */
  boolean hasDetectedChange() {
    return mean() >= ALARM;
  }

  /** Tells whether so much speaks against the version that it shouldn't get all requests yet. */
  boolean isSuspicious() {
    return mean() >= SUSPICION;
  }

  private double mean() {
    double sum = 0;
    for (double each : evidence) {
      sum += each;
    }
    return sum / evidence.length;
  }
}
