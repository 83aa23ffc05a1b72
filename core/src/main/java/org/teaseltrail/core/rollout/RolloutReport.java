package org.teaseltrail.core.rollout;

import java.util.List;
import org.teaseltrail.core.id.ServiceId;

/**
 * Report of an entry VM on a rollout, cumulative since the order.
 *
 * @param service the service
 * @param orderedMs log time of the order; identifies the rollout among those of the service
 * @param reached number of requests for the service that the VM has received
 * @param exposed number of requests that the VM has sent to the target version
 * @param ceiling number of requests that the VM will have sent there when its allocation is used up
 * @param firstNumber number of the first observation; the others are numbered consecutively
 * @param observations the observations that the leader may not have received
 */
public record RolloutReport(
    ServiceId service,
    long orderedMs,
    long reached,
    long exposed,
    long ceiling,
    long firstNumber,
    List<Observation> observations) {

  /** Copies the list of observations. */
  public RolloutReport {
    observations = List.copyOf(observations);
  }
}
