package org.teaseltrail.core.schedule.fleet;

/**
 * A linear model of an engine's step time as a function of its batch size: a base time plus a time
 * for each sequence, fitted to recent samples by exponentially weighted linear regression.
 */
final class StepTimeModel {

  /** Weight of the newest sample. */
  private static final double GAIN = 0.1;

  /** Assumed relative increase of the step time per sequence while batch sizes hardly vary. */
  private static final double ASSUMED_SLOPE = 0.02;

  /** Minimum variance of batch sizes, in squared sequences, from which a slope is calculated. */
  private static final double MIN_VARIANCE = 1;

  private double meanBatch;
  private double meanStepMs;
  private double variance;
  private double covariance;
  private int samples;

  void addSample(double batch, double stepMs) {
    double gain = Math.max(GAIN, 1.0 / ++samples);
    double batchError = batch - meanBatch;
    double stepError = stepMs - meanStepMs;
    meanBatch += gain * batchError;
    meanStepMs += gain * stepError;
    variance = (1 - gain) * (variance + gain * batchError * batchError);
    covariance = (1 - gain) * (covariance + gain * batchError * stepError);
  }

  boolean isEmpty() {
    return samples == 0;
  }

  /** Returns the step time at a batch size, in milliseconds. */
  double stepMs(double batch) {
    double minStepMs = meanStepMs / 4;
    return Math.max(minStepMs, meanStepMs + slope() * (batch - meanBatch));
  }

  private double slope() {
    if (variance < MIN_VARIANCE) {
      return ASSUMED_SLOPE * meanStepMs;
    }
    double maxSlope = meanStepMs / Math.max(1, meanBatch);
    return Math.min(Math.max(0, covariance / variance), maxSlope);
  }
}
