package org.teaseltrail.load.policy;

import java.util.List;
import java.util.Locale;

/**
 * Statistics of a metric over the seeds.
 *
 * @param mean the mean
 * @param deviation the sample standard deviation; zero for a single seed
 * @param min the minimum
 * @param max the maximum
 */
public record SampleStatistics(double mean, double deviation, double min, double max) {

  /** Computes the statistics of one or more values. */
  public static SampleStatistics of(List<Double> values) {
    double mean = values.stream().mapToDouble(v -> v).average().orElseThrow();
    double sumOfSquares = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
    double deviation = values.size() < 2 ? 0 : Math.sqrt(sumOfSquares / (values.size() - 1));
    double min = values.stream().mapToDouble(v -> v).min().orElseThrow();
    double max = values.stream().mapToDouble(v -> v).max().orElseThrow();
    return new SampleStatistics(mean, deviation, min, max);
  }

  /** Returns the mean and the standard deviation as percentages. */
  public String percent() {
    return String.format(Locale.ROOT, "%.1f ± %.1f", mean * 100, deviation * 100);
  }
}
