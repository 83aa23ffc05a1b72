package org.teaseltrail.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RouteId;

/**
 * Estimates the length of an answer in tokens by an exponential moving average over the answers to
 * the same customer on the same route, capped at the maximum that the caller allows.
 */
public final class OutputLengthEstimator {

  /** Estimate before the first answer is known; the length of a short answer. */
  static final int INITIAL_TOKENS = 128;

  /** Smoothing factor: weight of the newest answer in the average. */
  static final double NEWEST_WEIGHT = 0.2;

  /** Maximum number of averages kept; the least recently used is evicted to bound the memory. */
  static final int MAX_ENTRIES = 10_000;

  private final Map<AverageKey, Double> averages =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AverageKey, Double> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /**
   * Estimates the length of an answer.
   *
   * @param customer the customer that sent the request
   * @param route the route of the request
   * @param maxTokens maximum number of tokens that the caller allows
   * @return tokens, at least one
   */
  public int estimateTokens(CustomerId customer, RouteId route, int maxTokens) {
    double average =
        averages.getOrDefault(new AverageKey(customer, route), (double) INITIAL_TOKENS);
    return Math.max(1, Math.min(maxTokens, (int) Math.ceil(average)));
  }

  /**
   * Updates the average with the length of an answer.
   *
   * @param customer the customer that sent the request
   * @param route the route of the request
   * @param outputTokens length of the answer in tokens
   */
  public void recordAnswer(CustomerId customer, RouteId route, int outputTokens) {
    averages.merge(
        new AverageKey(customer, route),
        (double) outputTokens,
        (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
  }

  private record AverageKey(CustomerId customer, RouteId route) {}
}
