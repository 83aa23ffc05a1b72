package org.teaseltrail.core.rollout;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Number of requests that an entry VM may send to the target version of a rollout.
 *
 * @param service the service
 * @param orderedMs log time of the order; identifies the rollout among those of the service
 * @param ceiling total number of requests that the VM may send there, counted from the order
 * @param upstreams the upstreams they may be sent to; empty if nothing is allocated
 * @param heard number of the first of the VM's observations that the leader has not received
 */
public record CanaryAllowance(
    ServiceId service, long orderedMs, long ceiling, List<UpstreamId> upstreams, long heard) {

  /** Copies the list of upstreams. */
  public CanaryAllowance {
    upstreams = List.copyOf(upstreams);
  }
}
