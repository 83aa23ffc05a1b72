package org.teaseltrail.core.quota;

import org.teaseltrail.core.plan.PlanCustomer;

/**
 * Policy by which customers' quotas are counted over all entry VMs.
 *
 * @param windowMs length of the sliding window in milliseconds
 * @param toleranceRatio fraction of a quota by which its use may exceed it by error
 * @param toleranceTokens additional number of tokens by which the use of a quota in tokens may
 *     exceed it
 */
public record QuotaPolicy(long windowMs, double toleranceRatio, double toleranceTokens) {

  /** Default policy: a window of 8 seconds, without tolerance. */
  public static final QuotaPolicy DEFAULT = new QuotaPolicy(8_000, 0, 0);

  private static final double MS_PER_S = 1_000;

  /**
   * Returns the amount that a customer may use within the window.
   *
   * @param customer a customer with a quota
   * @return requests or tokens, depending on the customer's unit
   */
  public double limit(PlanCustomer customer) {
    return customer.quotaPerSecond() * windowMs / MS_PER_S + customer.quotaBurst();
  }

  /**
   * Returns the amount by which a customer's use may exceed the quota by error.
   *
   * @param customer a customer with a quota
   * @return requests or tokens, depending on the customer's unit
   */
  public double tolerance(PlanCustomer customer) {
    double slack = customer.quotaInTokens() ? toleranceTokens : 0;
    return limit(customer) * toleranceRatio + slack;
  }
}
