package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quota.QuotaReport;

/**
 * Quota usage before the current leadership, as a new leader learns it from the reports of entry
 * VMs: what the previous leader counted for VMs that don't report any more.
 *
 * <p>Without it, a customer's quota would start afresh with each leader: the usage of VMs that
 * failed before the change of leader would not be counted by anybody.
 */
final class InheritedQuotaUsage {

  private static final long NS_PER_MS = 1_000_000L;

  private record Ended(double amount, long untilNs) {}

  private final long untilNs;
  private final Map<CustomerId, Double> heldEarlier = new HashMap<>();
  private final Map<CustomerId, Double> heldByReportedVms = new HashMap<>();
  private final Map<CustomerId, Ended> ended = new HashMap<>();

  /**
   * Creates an instance without usage.
   *
   * @param untilNs time at which everything that was used or allowed before this leadership has
   *     left the window
   */
  InheritedQuotaUsage(long untilNs) {
    this.untilNs = untilNs;
  }

  /** Records the first report of a VM to this leadership. */
  void recordFirstReport(QuotaReport report, long nowNs) {
    heldByReportedVms.merge(report.customer(), report.held(), Double::sum);
    boolean hasEarlier = report.heldElsewhere() > 0 || report.heldByEnded() > 0;
    if (!hasEarlier) {
      return;
    }
    heldEarlier.merge(report.customer(), report.held() + report.heldElsewhere(), Math::max);
    Ended reportedEnded = new Ended(report.heldByEnded(), nowNs + report.endedForMs() * NS_PER_MS);
    ended.merge(report.customer(), reportedEnded, InheritedQuotaUsage::greater);
  }

  private static Ended greater(Ended first, Ended other) {
    return new Ended(
        Math.max(first.amount(), other.amount()), Math.max(first.untilNs(), other.untilNs()));
  }

  /** Returns whether any VM has reported usage that an earlier leader counted. */
  boolean hasEarlierUsage() {
    return !heldEarlier.isEmpty();
  }

  /** Returns the amount held by VMs that have not reported to this leadership. */
  double heldByUnreportedVms(CustomerId customer, long nowNs) {
    if (nowNs >= untilNs) {
      return 0;
    }
    double heldByAll = heldEarlier.getOrDefault(customer, 0.0);
    return Math.max(0, heldByAll - heldByReportedVms.getOrDefault(customer, 0.0));
  }

  /** Returns the amount counted for incarnations that had ended before this leadership. */
  double heldByEnded(CustomerId customer, long nowNs) {
    Ended endedUsage = ended.get(customer);
    return endedUsage == null || nowNs >= endedUsage.untilNs() ? 0 : endedUsage.amount();
  }

  /** Returns for how long the amount of ended incarnations still counts. */
  long endedForNs(CustomerId customer, long nowNs) {
    Ended endedUsage = ended.get(customer);
    return endedUsage == null ? 0 : Math.max(0, endedUsage.untilNs() - nowNs);
  }
}
