package org.teaseltrail.core.entry;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;

/**
 * Settings of an entry VM's state machine.
 *
 * @param vm name of the VM
 * @param incarnation incarnation of the VM's process
 * @param dataCenter data centre of the VM
 * @param helloIntervalMs interval between hellos on one connection
 * @param silenceTimeoutMs time without a message from a control member after which the VM
 *     reconnects to it
 * @param sheddingDelayMs time after the last confirmed lease until the VM rejects waiting requests
 *     of the lowest tier
 * @param sheddingStepMs time until it also rejects those of the next higher tier
 * @param resumeBackoffMs delay before the first attempt to resume a broken stream; doubles with
 *     each further attempt
 * @param progressIntervalMs interval between progress reports of a stream
 * @param balancerDelayMs time from the start of a shutdown until the listener closes
 * @param maxRequests maximum number of active requests on the VM
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
   * Returns default settings. The hello interval and the other times are short compared with the
   * session lifetime of three seconds.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM's process
   * @param dataCenter data centre of the VM
   */
  public static EntrySettings defaults(VmId vm, Incarnation incarnation, DataCenterId dataCenter) {
    return new EntrySettings(
        vm, incarnation, dataCenter, 500, 2_000, 10_000, 5_000, 50, 1_000, 5_000, 20_000);
  }
}
