package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quota.QuotaReport;

/**
 * Is what a new leader learns of quotas from the entry VMs: what the leader before counted for VMs
 * that don't come forward.
 *
 * <p>Guards against a customer whose quota starts anew with each leader: VMs that died before the
 * change had used a part that nobody left counts.
 */
final class InheritedQuotaUsage {

  private static final long NS_PER_MS = 1_000_000L;

  private record Ended(double amount, long untilNs) {}

  private final long untilNs;
  private final Map<CustomerId, Double> heldBefore = new HashMap<>();
  private final Map<CustomerId, Double> heldByKnown = new HashMap<>();
  private final Map<CustomerId, Ended> ended = new HashMap<>();

  /**
   * Creates one that knows nothing.
   *
   * @param untilNs when all that was used or allowed before this leader is out of the window
   */
  InheritedQuotaUsage(long untilNs) {
    this.untilNs = untilNs;
  }

  /** Takes what a VM tells that this leader hears for the first time. */
  void recordFirstReport(QuotaReport use, long nowNs) {
    heldByKnown.merge(use.customer(), use.held(), Double::sum);
    boolean remembers = use.heldElsewhere() > 0 || use.heldByEnded() > 0;
    if (!remembers) {
      return;
    }
    heldBefore.merge(use.customer(), use.held() + use.heldElsewhere(), Math::max);
    Ended told = new Ended(use.heldByEnded(), nowNs + use.endedForMs() * NS_PER_MS);
    ended.merge(use.customer(), told, InheritedQuotaUsage::greater);
  }

  private static Ended greater(Ended one, Ended other) {
    return new Ended(
        Math.max(one.amount(), other.amount()), Math.max(one.untilNs(), other.untilNs()));
  }

  /** Tells whether any VM knows what a leader before has counted. */
  boolean hasEarlierUsage() {
    return !heldBefore.isEmpty();
  }

  /** Returns what is held by VMs that have not come forward. */
  double heldByUnreportedVms(CustomerId customer, long nowNs) {
    if (nowNs >= untilNs) {
      return 0;
    }
    double all = heldBefore.getOrDefault(customer, 0.0);
    return Math.max(0, all - heldByKnown.getOrDefault(customer, 0.0));
  }

  /** Returns what is counted for lives that had ended before this leader. */
  double heldByEnded(CustomerId customer, long nowNs) {
    Ended inherited = ended.get(customer);
    return inherited == null || nowNs >= inherited.untilNs() ? 0 : inherited.amount();
  }

  /** Returns how long that counts on. */
  long endedForNs(CustomerId customer, long nowNs) {
    Ended inherited = ended.get(customer);
    return inherited == null ? 0 : Math.max(0, inherited.untilNs() - nowNs);
  }
}
