package org.teaseltrail.core.control;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.quota.QuotaPolicy;

/** The amounts of the customers' quotas that can be granted, derived once for each plan. */
final class QuotaLimits {

  /**
   * Fraction of the tolerated excess over a quota that is granted to the VMs. The more allowance
   * each VM has, the fewer callers are refused while other VMs don't use theirs. The rest is
   * reserved for usage that a new leader can't know.
   */
  private static final double GRANTED_TOLERANCE_RATIO = 0.7;

  private final QuotaPolicy policy;
  private Optional<InstalledPlan> source = Optional.empty();
  private Map<CustomerId, QuotaLimit> limits = Map.of();

  QuotaLimits(QuotaPolicy policy) {
    this.policy = policy;
  }

  /** Returns the amounts available for each customer with a quota. */
  Map<CustomerId, QuotaLimit> of(Optional<InstalledPlan> plan) {
    if (plan.orElse(null) != source.orElse(null)) {
      source = plan;
      limits =
          plan.stream()
              .flatMap(held -> held.plan().customers().stream())
              .filter(PlanCustomer::hasQuota)
              .collect(Collectors.toMap(PlanCustomer::id, this::limit));
    }
    return limits;
  }

  private QuotaLimit limit(PlanCustomer customer) {
    double grantable = GRANTED_TOLERANCE_RATIO * policy.tolerance(customer);
    double kept = policy.tolerance(customer) - grantable;
    return new QuotaLimit(
        policy.limit(customer) + grantable,
        customer.quotaPerSecond(),
        customer.quotaBurst() + grantable,
        kept);
  }
}
