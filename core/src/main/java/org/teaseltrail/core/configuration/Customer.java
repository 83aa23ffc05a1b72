package org.teaseltrail.core.configuration;

import java.util.List;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Customer with its tier and limits.
 *
 * @param id the customer
 * @param tier the tier that it pays for
 * @param keyHashes SHA-256 of each API key, in lower-case hexadecimal
 * @param rateRequestsPerSecond rate limit in requests per second; zero for no limit
 * @param burstRequests number of requests that it may send at once above the rate
 * @param weight weight in the fair sharing of engine time among the customers of its tier; at least
 *     one
 */
public record Customer(
    CustomerId id,
    Tier tier,
    List<String> keyHashes,
    double rateRequestsPerSecond,
    double burstRequests,
    int weight) {
  /** Copies the hashes. */
  public Customer {
    keyHashes = List.copyOf(keyHashes);
  }
}
