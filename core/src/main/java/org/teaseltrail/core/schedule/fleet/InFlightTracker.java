package org.teaseltrail.core.schedule.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** Is the scheduler's own account of the work in flight on one life of an upstream. */
final class InFlightTracker {

  /** Time over which the greatest count is remembered, to compare with reports as old as that. */
  private static final long PEAK_SPAN_NS = 2_000_000_000L;

  /** Prompt tokens in process from which the time between tokens says little of the engine. */
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

  /** Returns whether no long prompt has been in process since a time. */
  boolean hasNoLongPrefillSince(long sinceNs) {
    return prefillTokens < LONG_PREFILL_TOKENS && lastLongPrefillNs < sinceNs;
  }

  /**
   * Returns the part that has waited longest for its first token; null if there is none.
   *
   * <p>Guards against a dead VM whose requests make their upstreams look silent: each would get
   * nothing but probes, for which these requests leave no slot, and the pool would stand still
   * until they expire. Of a lapsed VM's request nothing is heard, whatever the upstream does.
   */
  InFlightRequest oldestWithoutFirstToken() {
    for (InFlightRequest part : withoutFirstToken) {
      if (!part.isVmSessionExpired()) {
        return part;
      }
    }
    return null;
  }

  /** Returns the greatest count within the last few seconds. */
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
    boolean sane = footprintTokens >= 0 && prefillTokens >= 0;
    boolean zero = footprintTokens == 0 && prefillTokens == 0;
    Invariant.check(sane && (zero || !parts.isEmpty()), InvariantName.IN_FLIGHT_ACCOUNT_BALANCES);
  }

  private void rotatePeak(long nowNs) {
    if (nowNs - peakSinceNs > PEAK_SPAN_NS) {
      previousPeak = nowNs - peakSinceNs > 2 * PEAK_SPAN_NS ? parts.size() : peak;
      peak = parts.size();
      peakSinceNs = nowNs;
    }
  }

  /** Checks that the sums equal the sums of the parts; linear in the parts. */
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
