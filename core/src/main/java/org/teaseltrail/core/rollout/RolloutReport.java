package org.teaseltrail.core.rollout;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;

/**
 * Is what an entry VM has done since a rollout's order.
 *
 * @param service the service
 * @param orderedMs log time of the order; tells a service's rollouts apart
 * @param reached requests that have reached the service from there
 * @param exposed requests sent to the ordered version from there
 * @param ceiling requests that it may have sent there once it has used what it was lent
 * @param firstNumber number of the first of the observations; they count on from there
 * @param observations what it has seen and the leader may not have heard
 */
public record RolloutReport(
    ServiceId service,
    long orderedMs,
    long reached,
    long exposed,
    long ceiling,
    long firstNumber,
    List<Observation> observations) {

  /** Copies the list. */
  public RolloutReport {
    observations = List.copyOf(observations);
  }
}
