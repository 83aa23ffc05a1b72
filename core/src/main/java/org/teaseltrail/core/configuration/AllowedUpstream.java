package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is an upstream that operators allow to take work.
 *
 * @param id its name
 * @param pool the one pool it serves, so that pools share nothing
 * @param secretHash SHA-256 of the secret its announcements carry, in lower-case hexadecimal
 * @param draining whether operators want it to take no new work
 * @param honoursFencing whether it refuses an order with an old fencing number
 */
public record AllowedUpstream(
    UpstreamId id, PoolId pool, String secretHash, boolean draining, boolean honoursFencing) {

  /** Returns the same upstream with its draining set. */
  public AllowedUpstream withDraining(boolean nowDraining) {
    return new AllowedUpstream(id, pool, secretHash, nowDraining, honoursFencing);
  }
}
