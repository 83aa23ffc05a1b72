package org.teaseltrail.core.quota;

import org.teaseltrail.core.plan.PlanCustomer;

/**
 * Says how quotas are counted over all entry VMs, by the users' rules.
 *
 * @param windowMs time over which a quota is counted, in milliseconds
 * @param toleranceRatio part of a quota by which it may be passed by mistake
 * @param toleranceTokens tokens that may pass a quota in tokens besides
 */
public record QuotaPolicy(long windowMs, double toleranceRatio, double toleranceTokens) {

  /** The users' window, without any tolerance. */
  public static final QuotaPolicy DEFAULT = new QuotaPolicy(8_000, 0, 0);

  private static final double MS_PER_S = 1_000;

  /**
   * Returns what a customer may use within the window.
   *
   * @param customer a customer with a quota
   * @return requests or tokens, by the customer's unit
   */
  public double limit(PlanCustomer customer) {
    return customer.quotaPerSecond() * windowMs / MS_PER_S + customer.quotaBurst();
  }

  /**
   * Returns what may pass a customer's quota by mistake.
   *
   * @param customer a customer with a quota
   * @return requests or tokens, by the customer's unit
   */
  public double tolerance(PlanCustomer customer) {
    double slack = customer.quotaInTokens() ? toleranceTokens : 0;
    return limit(customer) * toleranceRatio + slack;
  }
}
