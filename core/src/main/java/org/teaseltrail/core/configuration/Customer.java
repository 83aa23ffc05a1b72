package org.teaseltrail.core.configuration;

import java.util.List;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Tier;

/**
 * Is a customer with its tier and limits.
 *
 * @param id who it is
 * @param tier the tier it pays for
 * @param keyHashes SHA-256 of each API key, in lower-case hexadecimal
 * @param rateRequestsPerSecond requests it may send a second; zero for no limit
 * @param burstRequests requests it may send at once above the rate
 * @param weight share of engine time against the other customers of its tier; one or greater
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
