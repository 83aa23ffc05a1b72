package org.teaseltrail.core.forward;

import java.util.List;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.relay.RelaySettings;

/**
 * Settings of request forwarding at an entry VM.
 *
 * @param vm the VM
 * @param incarnation the incarnation of its process
 * @param contention which features decide while requests compete for slots
 * @param seeds control members to contact first
 * @param sessionLifetimeMs how long the session lasts after a confirmation by the leader, in
 *     milliseconds
 * @param syncIntervalMs interval between two syncs with the leader, in milliseconds
 * @param retryRatio retries of a service that are allowed per request of the service
 * @param retryWindowMs the sliding window over which retries and requests are counted, in
 *     milliseconds
 * @param retrySlack retries that are allowed in addition within the window, over all VMs together
 * @param quotas how customers' quotas are counted
 * @param relay where this VM accepts requests that other entry VMs relay to it
 * @param seed seed of the random number generator
 */
public record ForwardSettings(
    VmId vm,
    Incarnation incarnation,
    List<VmId> seeds,
    long sessionLifetimeMs,
    long syncIntervalMs,
    double retryRatio,
    long retryWindowMs,
    double retrySlack,
    QuotaPolicy quotas,
    ContentionSettings contention,
    RelaySettings relay,
    long seed) {
  /** Copies the list. */
  public ForwardSettings {
    seeds = List.copyOf(seeds);
  }
}
