package org.teaseltrail.core.plan;

import java.util.List;
import java.util.OptionalInt;
import org.teaseltrail.core.id.CustomerId;

/**
 * Customer with its API keys, its priority and its quota, which applies to all entry VMs together.
 *
 * @param id the customer
 * @param keys API keys that authenticate its requests
 * @param rank priority that overrides that of the route, 0 being the highest; empty if the route's
 *     priority applies
 * @param quotaInTokens whether the quota counts tokens instead of requests
 * @param plainTokens tokens charged for a request that carries no token count
 * @param quotaPerSecond requests or tokens per second; 0 means no quota
 * @param quotaBurst burst in requests or tokens that is allowed in addition to the rate
 */
public record PlanCustomer(
    CustomerId id,
    List<String> keys,
    OptionalInt rank,
    boolean quotaInTokens,
    int plainTokens,
    double quotaPerSecond,
    double quotaBurst) {

  /** Larger quotas limit nobody; sums with infinite ones would not be numbers. */
  private static final double MAX_QUOTA = 1e12;

  /** Copies the list of keys, and bounds the numbers. */
  public PlanCustomer {
    keys = List.copyOf(keys);
    plainTokens = Math.max(0, plainTokens);
    quotaPerSecond = bounded(quotaPerSecond);
    quotaBurst = bounded(quotaBurst);
  }

  private static double bounded(double quota) {
    return quota > 0 ? Math.min(MAX_QUOTA, quota) : 0;
  }

  /**
   * Returns whether the customer has a quota.
   *
   * @return false if its requests are not limited
   */
  public boolean hasQuota() {
    return quotaPerSecond > 0;
  }
}
