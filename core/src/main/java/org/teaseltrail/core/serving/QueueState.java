package org.teaseltrail.core.serving;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * State of the queue of requests that wait at an entry VM for a slot of one service.
 *
 * @param service the service
 * @param waiting the waiting requests, grouped by urgency and customer, most urgent first
 * @param unwanted upstreams that none of the waiting requests can use at present
 * @param slow slow upstreams, which should process the prompt of only one request at a time
 */
public record QueueState(
    ServiceId service, List<WaitTimes> waiting, List<UpstreamId> unwanted, List<UpstreamId> slow) {

  /** Copies the lists. */
  public QueueState {
    waiting = List.copyOf(waiting);
    unwanted = List.copyOf(unwanted);
    slow = List.copyOf(slow);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the sum over all urgencies
   */
  public int size() {
    return waiting.stream().mapToInt(each -> each.waitedMs().size()).sum();
  }

  /**
   * Wait times of the queued requests of one urgency and customer.
   *
   * @param urgency the urgency
   * @param customer the customer; empty if the VM doesn't group by customer, or for requests
   *     without one
   * @param waitedMs time that each request has waited, in milliseconds, longest first
   */
  public record WaitTimes(Urgency urgency, Optional<CustomerId> customer, List<Long> waitedMs) {

    /** Copies the list. */
    public WaitTimes {
      waitedMs = List.copyOf(waitedMs);
    }
  }
}
