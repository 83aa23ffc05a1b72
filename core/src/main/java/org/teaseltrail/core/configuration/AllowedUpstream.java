package org.teaseltrail.core.configuration;

import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Upstream that operators allow to serve requests.
 *
 * @param id the upstream
 * @param pool the only pool that it belongs to, so that pools share no upstreams
 * @param secretHash SHA-256 of the secret in its announcements, in lower-case hexadecimal
 * @param draining whether operators drain it, so that it gets no new requests
 * @param honoursFencing whether it rejects orders with an outdated fencing number
 */
public record AllowedUpstream(
    UpstreamId id, PoolId pool, String secretHash, boolean draining, boolean honoursFencing) {

  /** Returns a copy with the draining flag set to the given value. */
  public AllowedUpstream withDraining(boolean nowDraining) {
    return new AllowedUpstream(id, pool, secretHash, nowDraining, honoursFencing);
  }
}
