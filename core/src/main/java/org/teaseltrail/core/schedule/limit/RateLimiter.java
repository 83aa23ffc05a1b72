package org.teaseltrail.core.schedule.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.id.CustomerId;

/** Limits each customer to its configured request rate. */
public final class RateLimiter {

  private final Map<CustomerId, TokenBucket> buckets = new HashMap<>();

  /** Applies a configuration; a customer whose rate is unchanged keeps its bucket. */
  public void configure(Configuration configuration, long nowNs) {
    buckets.keySet().retainAll(configuration.customers().keySet());
    for (Customer customer : configuration.customers().values()) {
      configure(customer, nowNs);
    }
  }

  private void configure(Customer customer, long nowNs) {
    double rate = customer.rateRequestsPerSecond();
    double burst = customer.burstRequests();
    TokenBucket present = buckets.get(customer.id());
    if (rate <= 0) {
      buckets.remove(customer.id());
    } else if (present == null || !present.hasLimits(rate, burst)) {
      buckets.put(customer.id(), new TokenBucket(rate, burst, nowNs));
    }
  }

  /**
   * Tries to take a token for a request of a customer.
   *
   * @param customer the customer
   * @param nowNs monotonic time in nanoseconds
   * @return empty if the request is within the rate, else the time after which to retry, in
   *     milliseconds
   */
  public OptionalLong tryAcquire(CustomerId customer, long nowNs) {
    TokenBucket bucket = buckets.get(customer);
    if (bucket == null || bucket.tryAcquire(nowNs)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(bucket.waitMs());
  }
}
