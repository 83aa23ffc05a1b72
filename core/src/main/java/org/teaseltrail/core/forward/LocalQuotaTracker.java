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

/** Keeps customers' quotas at this VM. */
final class LocalQuotaTracker {

  /**
   * Part of the tolerance that requests may use, so that callers near their quota are not refused
   * by mistake; the rest is for what the VMs use between two syncs.
   */
  private static final double USED_TOLERANCE = 0.25;

  /** When a caller may come back that lacks only this VM's allowance: after the next sync. */
  private static final long ALLOWANCE_RETRY_MS = 300;

  /** Syncs remembered for their answers: a session's lifetime of them to each of five members. */
  private static final int MOST_OPEN = 64;

  private static final long NS_PER_MS = 1_000_000L;

  private final QuotaPolicy bounds;
  private final long memoryNs;
  private final Map<CustomerId, QuotaWindow> windows = new HashMap<>();
  private final TreeMap<Long, Map<CustomerId, Double>> usedBefore = new TreeMap<>();
  private Map<CustomerId, QuotaGrant> grants = Map.of();
  private long grantedNs;

  /**
   * Creates a desk without customers.
   *
   * @param bounds how quotas are counted
   * @param sessionLifetimeMs how long other VMs may use what they were allowed, in milliseconds
   */
  LocalQuotaTracker(QuotaPolicy bounds, long sessionLifetimeMs) {
    this.bounds = bounds;
    memoryNs = (bounds.windowMs() + sessionLifetimeMs) * NS_PER_MS;
  }

  /** Takes what the leader tells. */
  void applyGrants(ServingReply.Confirmed confirmed, long nowNs) {
    grants =
        confirmed.quotas().stream()
            .collect(Collectors.toMap(QuotaGrant::customer, Function.identity()));
    grantedNs = nowNs;
    Map<CustomerId, Double> before = usedBefore.getOrDefault(confirmed.sequence(), Map.of());
    usedBefore.headMap(confirmed.sequence(), true).clear();
    windows.forEach((id, window) -> tell(id, window, before.getOrDefault(id, 0.0)));
  }

  /** Takes a plan's quotas over; what was used stays used. */
  void configure(ServingPlan plan) {
    Set<CustomerId> limited =
        plan.customers().stream()
            .filter(PlanCustomer::hasQuota)
            .map(PlanCustomer::id)
            .collect(Collectors.toSet());
    windows.keySet().retainAll(limited);
    for (PlanCustomer customer : plan.customers()) {
      if (customer.hasQuota()) {
        QuotaWindow window = windows.computeIfAbsent(customer.id(), this::window);
        window.configure(bounds.limit(customer), USED_TOLERANCE * bounds.tolerance(customer));
      }
    }
  }

  /** Notes that a request has come. */
  void asked(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    if (window != null) {
      window.asked(amount(customer, request), nowNs);
    }
  }

  /** Says how a request stands to its customer's quota. */
  QuotaVerdict verdict(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    return window == null ? QuotaVerdict.WITHIN : window.verdict(amount(customer, request), nowNs);
  }

  /** Notes that a request waits until the leader allows more. */
  void recordShortage(PlanCustomer customer, ForwardRequest request) {
    QuotaWindow window = windows.get(customer.id());
    if (window != null) {
      window.recordShortage(amount(customer, request));
    }
  }

  /** Sets aside what a request that is to be admitted counts for. */
  QuotaReservation reserve(PlanCustomer customer, ForwardRequest request) {
    QuotaWindow window = windows.get(customer.id());
    return window == null
        ? QuotaReservation.NONE
        : QuotaReservation.of(window, amount(customer, request));
  }

  /** Returns when a refused request may be within the quota, in milliseconds. */
  long retryAfterMs(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    long untilFreeMs = window == null ? 0 : window.retryAfterMs(amount(customer, request), nowNs);
    return Math.max(ALLOWANCE_RETRY_MS, untilFreeMs);
  }

  private static double amount(PlanCustomer customer, ForwardRequest request) {
    return customer.quotaInTokens() ? request.quotaTokens(customer.plainTokens()) : 1;
  }

  /**
   * Tells the leader what is used here. What is used from now on counts against the allowance that
   * the leader answers with.
   *
   * @param sequence the sync's, which the answer carries back
   * @param mayTake whether requests may be admitted; if not, allowances are given back
   * @param nowNs time
   */
  List<QuotaReport> uses(long sequence, boolean mayTake, long nowNs) {
    Map<CustomerId, Double> used = new HashMap<>();
    windows.forEach((id, window) -> used.put(id, window.used(nowNs)));
    usedBefore.put(sequence, used);
    if (usedBefore.size() > MOST_OPEN) {
      usedBefore.pollFirstEntry();
    }
    boolean remembers = !grants.isEmpty() && nowNs - grantedNs < memoryNs;
    return windows.values().stream()
        .map(window -> window.createReport(mayTake, remembers, nowNs))
        .toList();
  }

  private QuotaWindow window(CustomerId id) {
    QuotaWindow window = new QuotaWindow(id, bounds);
    tell(id, window, 0);
    return window;
  }

  private void tell(CustomerId id, QuotaWindow window, double used) {
    QuotaGrant grant = grants.get(id);
    if (grant != null) {
      window.applyGrant(grant, used);
    }
  }
}
