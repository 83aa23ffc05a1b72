package org.teaseltrail.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;

/**
 * Estimates how long an answer will be, from the answers that the same customer got on the same
 * route: a moving average, never above what the caller allows.
 */
public final class OutputLengthEstimator {

  /** Estimate where nothing is known yet; a quick answer's length. */
  static final int INITIAL_TOKENS = 128;

  /** Weight of the newest answer in the average. */
  static final double NEWEST_WEIGHT = 0.2;

  /** Averages held; the least recently used goes first, so that memory is bounded. */
  static final int MAX_ENTRIES = 10_000;

  private final Map<Source, Double> averages =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Source, Double> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /**
   * Estimates an answer's length.
   *
   * @param customer whose request
   * @param route its route
   * @param maxTokens the most tokens the caller allows
   * @return tokens, one or greater
   */
  public int estimateTokens(CustomerId customer, RouteId route, int maxTokens) {
    double average = averages.getOrDefault(new Source(customer, route), (double) INITIAL_TOKENS);
    return Math.max(1, Math.min(maxTokens, (int) Math.ceil(average)));
  }

  /**
   * Learns from an answer.
   *
   * @param customer whose request
   * @param route its route
   * @param outputTokens the answer's length
   */
  public void recordAnswer(CustomerId customer, RouteId route, int outputTokens) {
    averages.merge(
        new Source(customer, route),
        (double) outputTokens,
        (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
  }

  private record Source(CustomerId customer, RouteId route) {}
}
