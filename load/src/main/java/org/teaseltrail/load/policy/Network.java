package org.teaseltrail.load.policy;

import org.teaseltrail.load.workload.Deployment;

/** Holds the fixed one-way message times of a deployment. */
final class Network {

  private static final double NS_PER_MS = 1e6;

  /** Time to sync a claim to a disk; two milliseconds is slow for a solid-state disk. */
  private static final double SYNC_MS = 2;

  private final long betweenDataCentersNs;
  private final long clientNs;

  Network(Deployment deployment) {
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

  /** Returns the time until a claim is synced on a quorum: a round trip and a sync. */
  long claimNs() {
    return (long) (2 * betweenDataCentersNs + SYNC_MS * NS_PER_MS);
  }
}
