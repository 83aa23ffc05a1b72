package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/**
 * Is what an entry VM could send to a service's upstreams that have named limits.
 *
 * @param service the service
 * @param requests how many permits are of use
 * @param waiting urgency of the most urgent request that waits there, if any does
 */
public record PermitDemand(ServiceId service, int requests, Optional<Urgency> waiting) {

  /**
   * Tells whether this goes before what another VM wants.
   *
   * @param other what the other wants of the same service
   * @return true if a more urgent request waits here
   */
  public boolean hasPriorityOver(PermitDemand other) {
    return waiting.isPresent()
        && (other.waiting().isEmpty() || waiting.get().compareTo(other.waiting().get()) < 0);
  }
}
