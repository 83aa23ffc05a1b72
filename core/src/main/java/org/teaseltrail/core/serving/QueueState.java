package org.teaseltrail.core.serving;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what an entry VM tells of the requests that wait there for a place at one service.
 *
 * @param service the service
 * @param waiting what waits, by urgency, the most urgent first
 * @param unwanted upstreams that none of them can use at present
 * @param slow upstreams where one prompt after the other is to be read
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
   * Returns how many requests wait.
   *
   * @return the sum over all urgencies
   */
  public int size() {
    return waiting.stream().mapToInt(each -> each.waitedMs().size()).sum();
  }

  /**
   * Is what waits of one urgency.
   *
   * @param urgency the urgency
   * @param waitedMs how long each request has waited, in milliseconds, the longest first
   */
  public record WaitTimes(Urgency urgency, List<Long> waitedMs) {

    /** Copies the list. */
    public WaitTimes {
      waitedMs = List.copyOf(waitedMs);
    }
  }
}
