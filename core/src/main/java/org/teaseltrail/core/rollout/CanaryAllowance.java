package org.teaseltrail.core.rollout;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what an entry VM may send to an ordered version.
 *
 * @param service the service
 * @param orderedMs log time of the order; tells a service's rollouts apart
 * @param ceiling requests that the VM may have sent there since the order
 * @param upstreams which upstreams they may go to; none if nothing is lent
 * @param heard number of the first of the VM's observations that the leader hasn't heard
 */
public record CanaryAllowance(
    ServiceId service, long orderedMs, long ceiling, List<UpstreamId> upstreams, long heard) {

  /** Copies the list. */
  public CanaryAllowance {
    upstreams = List.copyOf(upstreams);
  }
}
