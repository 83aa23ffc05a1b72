package org.teaseltrail.core.serving;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what an entry VM tells of the requests that wait there for a place at one service.
 *
 * @param service the service
 * @param waiting how many wait of each urgency, the most urgent first
 * @param unwanted upstreams that none of them can use at present
 */
public record LineState(ServiceId service, List<Count> waiting, List<UpstreamId> unwanted) {

  /** Copies the lists. */
  public LineState {
    waiting = List.copyOf(waiting);
    unwanted = List.copyOf(unwanted);
  }

  /**
   * Is a number of waiting requests.
   *
   * @param urgency what they have in common
   * @param requests how many there are
   */
  public record Count(Urgency urgency, int requests) {}
}
