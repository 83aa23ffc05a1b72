package org.teaseltrail.core.plan;

import java.util.List;
import java.util.OptionalInt;
import org.teaseltrail.core.id.CustomerId;

/**
 * Is a customer: its keys, its rank and its quota over all entry VMs together.
 *
 * @param id the customer
 * @param keys keys that its requests carry
 * @param rank rank that goes before the routes' own, 0 the highest; empty if routes decide
 * @param quotaInTokens whether the quota counts tokens instead of requests
 * @param plainTokens tokens that a request without a token count stands for
 * @param quotaPerSecond requests or tokens a second; 0 means no quota
 * @param quotaBurst requests or tokens that may come at once besides
 */
public record PlanCustomer(
    CustomerId id,
    List<String> keys,
    OptionalInt rank,
    boolean quotaInTokens,
    int plainTokens,
    double quotaPerSecond,
    double quotaBurst) {

  /** Copies the list. */
  public PlanCustomer {
    keys = List.copyOf(keys);
  }

  /**
   * Tells whether there is a quota.
   *
   * @return false if the customer may send as much as it likes
   */
  public boolean hasQuota() {
    return quotaPerSecond > 0;
  }
}
