package org.teaseltrail.load.measure;

import java.util.EnumMap;
import java.util.Map;

/** Counts the requests of one tier by outcome. */
public final class TierTally {

  private final Map<RequestOutcome, Long> counts = new EnumMap<>(RequestOutcome.class);
  private long offered;

  /** Counts a request that a caller sent. */
  public void offered() {
    offered++;
  }

  /** Counts a request's outcome. */
  public void ended(RequestOutcome outcome) {
    counts.merge(outcome, 1L, Long::sum);
  }

  /** Returns how many requests callers sent. */
  public long offeredCount() {
    return offered;
  }

  /** Returns how many requests ended so. */
  public long count(RequestOutcome outcome) {
    return counts.getOrDefault(outcome, 0L);
  }

  /** Returns how many requests have ended. */
  public long endedCount() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the useful part of the offered requests. */
  public double goodput() {
    return offered == 0 ? 1 : (double) count(RequestOutcome.USEFUL) / offered;
  }
}
