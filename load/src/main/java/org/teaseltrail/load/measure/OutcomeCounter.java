package org.teaseltrail.load.measure;

import java.util.EnumMap;
import java.util.Map;

/** Counts requests by outcome, for example those of one tier. */
public final class OutcomeCounter {

  private final Map<RequestOutcome, Long> counts = new EnumMap<>(RequestOutcome.class);
  private long offered;

  /** Counts a request that a caller has sent. */
  public void offered() {
    offered++;
  }

  /** Counts a request's outcome. */
  public void ended(RequestOutcome outcome) {
    counts.merge(outcome, 1L, Long::sum);
  }

  /** Returns the number of requests that callers have sent. */
  public long offeredCount() {
    return offered;
  }

  /** Returns the number of requests with the given outcome. */
  public long count(RequestOutcome outcome) {
    return counts.getOrDefault(outcome, 0L);
  }

  /** Returns the number of requests that have ended. */
  public long endedCount() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the fraction of offered requests that got a useful response. */
  public double goodput() {
    return offered == 0 ? 1 : (double) count(RequestOutcome.USEFUL) / offered;
  }
}
