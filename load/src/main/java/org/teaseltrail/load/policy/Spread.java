package org.teaseltrail.load.policy;

import java.util.List;
import java.util.Locale;

/**
 * Is a measure over the seeds.
 *
 * @param mean the mean
 * @param deviation the sample's standard deviation; zero for one seed
 * @param min the least
 * @param max the greatest
 */
public record Spread(double mean, double deviation, double min, double max) {

  /** Returns the spread of one or more values. */
  public static Spread of(List<Double> values) {
    double mean = values.stream().mapToDouble(v -> v).average().orElseThrow();
    double squares = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
    double deviation = values.size() < 2 ? 0 : Math.sqrt(squares / (values.size() - 1));
    double min = values.stream().mapToDouble(v -> v).min().orElseThrow();
    double max = values.stream().mapToDouble(v -> v).max().orElseThrow();
    return new Spread(mean, deviation, min, max);
  }

  /** Returns mean and deviation in hundredths. */
  public String percent() {
    return String.format(Locale.ROOT, "%.1f ± %.1f", mean * 100, deviation * 100);
  }
}
