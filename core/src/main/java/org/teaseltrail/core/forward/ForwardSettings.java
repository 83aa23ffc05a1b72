package org.teaseltrail.core.forward;

import java.util.List;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quota.QuotaPolicy;

/**
 * Sets how an entry VM forwards.
 *
 * @param vm this VM
 * @param incarnation which life of its process
 * @param seeds control members to ask first
 * @param sessionLifetimeMs how long a confirmation by the leader is good for, in milliseconds
 * @param syncIntervalMs time between two syncs with the leader, in milliseconds
 * @param retryRatio repeats that a service may get, in relation to its requests
 * @param retryWindowMs the time over which they are counted, in milliseconds
 * @param retrySlack repeats that may come besides, over all VMs
 * @param quotas how quotas are counted
 * @param seed seeds what is drawn by chance
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
    long seed) {
  /** Copies the list. */
  public ForwardSettings {
    seeds = List.copyOf(seeds);
  }
}
