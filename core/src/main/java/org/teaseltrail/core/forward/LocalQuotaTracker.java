package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.serving.ServingReply;

/** Tracks customers' quotas at this VM: the use here and the allowances granted by the leader. */
final class LocalQuotaTracker {

  /**
   * Fraction of the tolerance that requests may use, so that callers near their quota are not
   * refused by mistake; the rest covers what the VMs use between two syncs.
   */
  private static final double USABLE_TOLERANCE_FRACTION = 0.25;

  /**
   * Retry-after for a request that exceeds only this VM's allowance, in milliseconds: after the
   * next sync.
   */
  private static final long ALLOWANCE_RETRY_AFTER_MS = 300;

  /**
   * Maximum number of unanswered syncs that are retained: those of a session's lifetime to each of
   * five members.
   */
  private static final int MAX_UNANSWERED_SYNCS = 64;

  private static final long NS_PER_MS = 1_000_000L;

  private final QuotaPolicy bounds;
  private final long retentionNs;
  private final Map<CustomerId, QuotaWindow> windows = new HashMap<>();
  private final TreeMap<Long, Map<CustomerId, Double>> usedBySync = new TreeMap<>();
  private Map<CustomerId, QuotaGrant> grants = Map.of();
  private long grantedNs;

  /**
   * Creates a tracker without customers.
   *
   * @param bounds how quotas are counted
   * @param sessionLifetimeMs how long other VMs may use their allowances, in milliseconds
   */
  LocalQuotaTracker(QuotaPolicy bounds, long sessionLifetimeMs) {
    this.bounds = bounds;
    retentionNs = (bounds.windowMs() + sessionLifetimeMs) * NS_PER_MS;
  }

  /** Applies the quota grants in a confirmation by the leader. */
  void applyGrants(ServingReply.Confirmed confirmed, long nowNs) {
    grants =
        confirmed.quotas().stream()
            .collect(Collectors.toMap(QuotaGrant::customer, Function.identity()));
    grantedNs = nowNs;
    Map<CustomerId, Double> before = usedBySync.getOrDefault(confirmed.sequence(), Map.of());
    usedBySync.headMap(confirmed.sequence(), true).clear();
    windows.forEach((id, window) -> applyGrant(id, window, before.getOrDefault(id, 0.0)));
  }

  /** Applies a plan's quotas; what was used stays counted. */
  void configure(ServingPlan plan) {
    Set<CustomerId> withQuota =
        plan.customers().stream()
            .filter(PlanCustomer::hasQuota)
            .map(PlanCustomer::id)
            .collect(Collectors.toSet());
    windows.keySet().retainAll(withQuota);
    for (PlanCustomer customer : plan.customers()) {
      if (customer.hasQuota()) {
        QuotaWindow window = windows.computeIfAbsent(customer.id(), this::createWindow);
        window.configure(
            bounds.limit(customer), USABLE_TOLERANCE_FRACTION * bounds.tolerance(customer));
      }
    }
  }

  /** Records a request as demand. */
  void asked(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    if (window != null) {
      window.asked(amount(customer, request), nowNs);
    }
  }

  /** Decides whether a request is within its customer's quota. */
  QuotaVerdict verdict(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    return window == null ? QuotaVerdict.WITHIN : window.verdict(amount(customer, request), nowNs);
  }

  /**
   * Returns the time until there is quota for what waits at all VMs, in milliseconds; 0 if the
   * leader hasn't said that the customer's quota is exhausted.
   */
  long exhaustedForMs(PlanCustomer customer) {
    QuotaWindow window = windows.get(customer.id());
    return window == null ? 0 : window.exhaustedForMs();
  }

  /** Records a request that waits until the leader grants more allowance. */
  void recordShortage(PlanCustomer customer, ForwardRequest request) {
    QuotaWindow window = windows.get(customer.id());
    if (window != null) {
      window.recordShortage(amount(customer, request));
    }
  }

  /** Reserves the quota that an admitted request is charged. */
  QuotaReservation reserve(PlanCustomer customer, ForwardRequest request) {
    QuotaWindow window = windows.get(customer.id());
    return window == null
        ? QuotaReservation.NONE
        : QuotaReservation.of(window, amount(customer, request));
  }

  /**
   * Returns the retry-after for a refused request: the time until it may be within the quota, in
   * milliseconds.
   */
  long retryAfterMs(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    long untilFreeMs = window == null ? 0 : window.retryAfterMs(amount(customer, request), nowNs);
    return Math.max(ALLOWANCE_RETRY_AFTER_MS, untilFreeMs);
  }

  private static double amount(PlanCustomer customer, ForwardRequest request) {
    return customer.quotaInTokens() ? request.quotaTokens(customer.plainTokens()) : 1;
  }

  /**
   * Returns the reports of the quota used here. What is used from now on counts against the
   * allowance in the leader's answer.
   *
   * @param sequence the sequence number of the sync, which the answer carries back
   * @param canAdmit whether requests may be admitted; if not, allowances are returned
   * @param nowNs current time, in nanoseconds
   */
  List<QuotaReport> uses(long sequence, boolean canAdmit, long nowNs) {
    Map<CustomerId, Double> used = new HashMap<>();
    windows.forEach((id, window) -> used.put(id, window.used(nowNs)));
    usedBySync.put(sequence, used);
    if (usedBySync.size() > MAX_UNANSWERED_SYNCS) {
      usedBySync.pollFirstEntry();
    }
    boolean retainsGrants = !grants.isEmpty() && nowNs - grantedNs < retentionNs;
    return windows.values().stream()
        .map(window -> window.createReport(canAdmit, retainsGrants, nowNs))
        .toList();
  }

  private QuotaWindow createWindow(CustomerId id) {
    QuotaWindow window = new QuotaWindow(id, bounds);
    applyGrant(id, window, 0);
    return window;
  }

  private void applyGrant(CustomerId id, QuotaWindow window, double used) {
    QuotaGrant grant = grants.get(id);
    if (grant != null) {
      window.applyGrant(grant, used);
    }
  }
}
