package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Ticket;

/** The leader's record of a request that waits or runs. */
final class TrackedRequest {

  private final RequestId request;
  private final VmId vm;
  private final PoolId pool;
  private final Tier tier;
  private final Optional<ClaimKey> claimKey;
  private final String bodyDigest;
  private Optional<UpstreamId> upstream = Optional.empty();

  TrackedRequest(VmId vm, Ticket ticket) {
    this.vm = vm;
    request = ticket.request();
    pool = ticket.pool();
    tier = ticket.tier();
    claimKey = ticket.claim().map(claim -> new ClaimKey(ticket.customer(), claim.key()));
    bodyDigest = ticket.claim().map(claim -> claim.bodyDigest()).orElse("");
  }

  RequestId request() {
    return request;
  }

  VmId vm() {
    return vm;
  }

  PoolId pool() {
    return pool;
  }

  Tier tier() {
    return tier;
  }

  Optional<ClaimKey> claimKey() {
    return claimKey;
  }

  String bodyDigest() {
    return bodyDigest;
  }

  /** Returns the upstream to which the request is granted, if any. */
  Optional<UpstreamId> upstream() {
    return upstream;
  }

  void granted(UpstreamId where) {
    upstream = Optional.of(where);
  }

  void markWaiting() {
    upstream = Optional.empty();
  }
}
