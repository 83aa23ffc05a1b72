package org.teaseltrail.core.schedule.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** Tracks the requests that the scheduler has in flight on one incarnation of an upstream. */
final class InFlightTracker {

  /** Time for which the peak count is kept, to compare it with load reports up to that age. */
  private static final long PEAK_SPAN_NS = 2_000_000_000L;

  /** Prompt tokens in progress from which the time between tokens does not reflect the engine. */
  private static final long LONG_PREFILL_TOKENS = 1_024;

  private final Set<InFlightRequest> parts = new LinkedHashSet<>();
  private final Set<InFlightRequest> withoutFirstToken = new LinkedHashSet<>();
  private long footprintTokens;
  private long prefillTokens;
  private long lastLongPrefillNs = Long.MIN_VALUE;
  private int peak;
  private int previousPeak;
  private long peakSinceNs;

  int count() {
    return parts.size();
  }

  long footprintTokens() {
    return footprintTokens;
  }

  long prefillTokens() {
    return prefillTokens;
  }

  /** Returns whether no long prompt has been in progress since a time. */
  boolean hasNoLongPrefillSince(long sinceNs) {
    return prefillTokens < LONG_PREFILL_TOKENS && lastLongPrefillNs < sinceNs;
  }

  /**
   * Returns the request that has waited longest for its first token; null if there is none.
   *
   * <p>Requests of VMs whose session has expired are skipped: no message about them arrives,
   * whatever the upstream does. Otherwise the requests of a dead VM would make their upstreams look
   * silent. Each would be limited to probes, for which these requests leave no slot, and the pool
   * would stall until they expire.
   */
  InFlightRequest oldestWithoutFirstToken() {
    for (InFlightRequest part : withoutFirstToken) {
      if (!part.isVmSessionExpired()) {
        return part;
      }
    }
    return null;
  }

  /** Returns the peak count of the last few seconds. */
  int recentPeak(long nowNs) {
    rotatePeak(nowNs);
    return Math.max(peak, previousPeak);
  }

  void add(InFlightRequest part, long nowNs) {
    parts.add(part);
    withoutFirstToken.add(part);
    footprintTokens += part.footprintTokens();
    prefillTokens += part.prefillTokens();
    rotatePeak(nowNs);
    peak = Math.max(peak, parts.size());
  }

  void start(InFlightRequest part, long nowNs) {
    if (prefillTokens >= LONG_PREFILL_TOKENS) {
      lastLongPrefillNs = nowNs;
    }
    if (withoutFirstToken.remove(part)) {
      prefillTokens -= part.prefillTokens();
    }
  }

  void remove(InFlightRequest part, long nowNs) {
    Invariant.check(parts.remove(part), InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
    start(part, nowNs);
    footprintTokens -= part.footprintTokens();
    boolean nonNegative = footprintTokens >= 0 && prefillTokens >= 0;
    boolean empty = footprintTokens == 0 && prefillTokens == 0;
    Invariant.check(
        nonNegative && (empty || !parts.isEmpty()), InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
  }

  private void rotatePeak(long nowNs) {
    if (nowNs - peakSinceNs > PEAK_SPAN_NS) {
      previousPeak = nowNs - peakSinceNs > 2 * PEAK_SPAN_NS ? parts.size() : peak;
      peak = parts.size();
      peakSinceNs = nowNs;
    }
  }

  /** Checks the maintained sums against the requests; linear in their number. */
  void audit() {
    long footprint = parts.stream().mapToLong(InFlightRequest::footprintTokens).sum();
    long prefill = withoutFirstToken.stream().mapToLong(InFlightRequest::prefillTokens).sum();
    Invariant.check(
        footprint == footprintTokens
            && prefill == prefillTokens
            && parts.containsAll(withoutFirstToken),
        InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
  }
}
