package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/** Keeps customers' quotas at this VM. */
final class QuotaDesk {

  /**
   * Part of the tolerance that is used, so that callers near their quota are not refused by
   * mistake; the rest is for what the VMs use between two syncs and what a new leader hasn't heard
   * of yet.
   */
  private static final double USED_TOLERANCE = 0.25;

  private static final double MS_PER_S = 1_000;

  private final ForwardSettings settings;
  private final Map<CustomerId, QuotaWindow> windows = new HashMap<>();
  private Map<CustomerId, Double> usedElsewhere = Map.of();
  private Map<CustomerId, Double> shares = Map.of();
  private int vmCount = 1;
  private long toldNs;

  QuotaDesk(ForwardSettings settings) {
    this.settings = settings;
  }

  /** Takes what the leader tells. */
  void told(ServingReply.Confirmed confirmed, long nowNs) {
    toldNs = nowNs;
    usedElsewhere = confirmed.usedElsewhere();
    shares = confirmed.quotaShares();
    vmCount = Math.max(1, confirmed.vmCount());
    windows.forEach(this::tell);
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
        window.configure(customer.quotaPerSecond(), customer.quotaBurst(), tolerance(customer));
      }
    }
  }

  /** Returns the part that is used of what may pass a quota by mistake. */
  private double tolerance(PlanCustomer customer) {
    double windowS = settings.quotaWindowMs() / MS_PER_S;
    double whole = customer.quotaPerSecond() * windowS + customer.quotaBurst();
    double slack = customer.quotaInTokens() ? settings.quotaSlack() : 0;
    return USED_TOLERANCE * (whole * settings.quotaOver() + slack);
  }

  /** Notes that a request has come, and says how it stands to its customer's quota. */
  QuotaVerdict asked(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    if (window == null) {
      return QuotaVerdict.WITHIN;
    }
    double amount = amount(customer, request);
    window.asked(amount, nowNs);
    return window.verdict(amount, nowNs);
  }

  /** Counts a request that is admitted. */
  void take(PlanCustomer customer, ForwardRequest request, long nowNs) {
    QuotaWindow window = windows.get(customer.id());
    if (window != null) {
      window.take(amount(customer, request), nowNs);
    }
  }

  /** Returns when a refused request may be within the quota, in milliseconds. */
  long waitMs(PlanCustomer customer, ForwardRequest request) {
    return windows.get(customer.id()).waitMs(amount(customer, request));
  }

  private static double amount(PlanCustomer customer, ForwardRequest request) {
    return customer.quotaInTokens() ? request.quotaTokens(customer.plainTokens()) : 1;
  }

  Map<CustomerId, Double> usedHere(long nowNs) {
    Map<CustomerId, Double> used = new HashMap<>();
    windows.forEach((id, window) -> used.put(id, window.usedHere(nowNs)));
    return used;
  }

  Map<CustomerId, Double> demandPerSecond(long nowNs) {
    Map<CustomerId, Double> demand = new HashMap<>();
    windows.forEach((id, window) -> demand.put(id, window.demandPerSecond(nowNs)));
    return demand;
  }

  private QuotaWindow window(CustomerId id) {
    QuotaWindow window = new QuotaWindow(settings.quotaWindowMs());
    tell(id, window);
    return window;
  }

  private void tell(CustomerId id, QuotaWindow window) {
    window.told(
        usedElsewhere.getOrDefault(id, 0.0), shares.getOrDefault(id, 1.0 / vmCount), toldNs);
  }
}
