package org.teaseltrail.core.entry;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Holds what an entry VM's decisions depend on.
 *
 * @param vm the VM's name
 * @param incarnation which life of its process
 * @param dataCenter where it stands
 * @param helloIntervalMs time between hellos on one connection
 * @param silenceTimeoutMs time without an answer after which a connection to a member is made anew
 * @param sheddingDelayMs time since the last lease seen after which the lowest tier is given up
 * @param sheddingStepMs time from one tier's giving up to the next higher one's
 * @param resumeBackoffMs wait before the first resume of a broken stream; doubles with each
 * @param progressIntervalMs time between two progress reports of a stream
 * @param balancerDelayMs time from the start of a shutdown until the listener closes
 * @param maxRequests requests that the VM holds at most
 */
public record EntrySettings(
    VmId vm,
    Incarnation incarnation,
    DataCenterId dataCenter,
    long helloIntervalMs,
    long silenceTimeoutMs,
    long sheddingDelayMs,
    long sheddingStepMs,
    long resumeBackoffMs,
    long progressIntervalMs,
    long balancerDelayMs,
    int maxRequests) {

  /**
   * Returns settings with the defaults: hellos as the internals page sets them, the rest small
   * against a session's three seconds.
   *
   * @param vm the VM's name
   * @param incarnation which life of its process
   * @param dataCenter where it stands
   */
  public static EntrySettings defaults(VmId vm, Incarnation incarnation, DataCenterId dataCenter) {
    return new EntrySettings(
        vm, incarnation, dataCenter, 500, 2_000, 10_000, 5_000, 50, 1_000, 5_000, 20_000);
  }
}
