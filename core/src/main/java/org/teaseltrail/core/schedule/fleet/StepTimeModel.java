package org.teaseltrail.core.schedule.fleet;

/**
 * Learns how an engine's time per token grows with its batch, as a straight line through recent
 * samples: a step costs a base and something for each sequence.
 */
final class StepTimeModel {

  /** Weight of the newest sample. */
  private static final double GAIN = 0.1;

  /** Part by which each sequence is taken to lengthen a step as long as batches hardly vary. */
  private static final double ASSUMED_SLOPE = 0.02;

  /** Least variance of batches, in squared sequences, from which a slope is read off. */
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

  /** Returns the time of a step at a batch, in milliseconds. */
  double stepMs(double batch) {
    double least = meanStepMs / 4;
    return Math.max(least, meanStepMs + slope() * (batch - meanBatch));
  }

  private double slope() {
    if (variance < MIN_VARIANCE) {
      return ASSUMED_SLOPE * meanStepMs;
    }
    double greatest = meanStepMs / Math.max(1, meanBatch);
    return Math.min(Math.max(0, covariance / variance), greatest);
  }
}
