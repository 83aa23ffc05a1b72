package org.teaseltrail.load.policy;

import org.teaseltrail.load.workload.Deployment;

/** One-way network delays of a deployment and the commit time of a claim, all constant. */
final class NetworkDelays {

  private static final double NS_PER_MS = 1e6;

  /** Duration of syncing a claim to disk; two milliseconds is slow for a solid-state disk. */
  private static final double SYNC_MS = 2;

  private final long betweenDataCentersNs;
  private final long clientNs;

  NetworkDelays(Deployment deployment) {
    this.betweenDataCentersNs = (long) (deployment.networkMs() * NS_PER_MS);
    this.clientNs = (long) (deployment.clientMs() * NS_PER_MS);
  }

  long clientNs() {
    return clientNs;
  }

  long upstreamNs() {
    return betweenDataCentersNs;
  }

  long controlNs() {
    return betweenDataCentersNs;
  }

  /** Returns the time until a claim is synced on a quorum: one round trip and one disk sync. */
  long claimNs() {
    return (long) (2 * betweenDataCentersNs + SYNC_MS * NS_PER_MS);
  }
}
