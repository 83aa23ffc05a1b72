package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;

/**
 * Number of requests that an entry VM could send to the rate-limited upstreams of a service.
 *
 * @param service the service
 * @param requests number of permits that the VM can use
 * @param waiting urgency of the most urgent request that waits at the VM for the service, if any
 */
public record PermitDemand(ServiceId service, int requests, Optional<Urgency> waiting) {

  /**
   * Returns whether this demand has priority over that of another VM.
   *
   * @param other demand of the other VM for the same service
   * @return true if a more urgent request waits at this VM
   */
  public boolean hasPriorityOver(PermitDemand other) {
    return waiting.isPresent()
        && (other.waiting().isEmpty() || waiting.get().compareTo(other.waiting().get()) < 0);
  }
}
