package org.teaseltrail.core.rollout;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamVersion;

/**
 * State of the latest rollout of a service. It is the only source for which versions of the
 * service's upstreams may receive requests.
 *
 * @param order the order of the operator
 * @param before versions in force when the rollout was ordered; empty if there were none
 * @param orderedMs log time of the order, in milliseconds; identifies the rollout among those of
 *     the service
 * @param phase current phase
 * @param reason reason for the transition to that phase
 * @param account bounds on the requests that the target version and the service have received
 */
public record Rollout(
    RolloutOrder order,
    List<UpstreamVersion> before,
    long orderedMs,
    RolloutPhase phase,
    RolloutReason reason,
    ExposureCounters account) {

  /** Time after the order during which an equal order is taken for a retry of it. */
  private static final long RETRY_WINDOW_MS = 10_000;

  /** Copies the list of versions. */
  public Rollout {
    before = List.copyOf(before);
  }

  /** Creates a rollout in its first phase. */
  static Rollout ordered(RolloutOrder order, List<UpstreamVersion> before, long logTimeMs) {
    return new Rollout(
        order,
        before,
        logTimeMs,
        RolloutPhase.RUNNING,
        RolloutReason.ORDERED,
        ExposureCounters.NONE);
  }

  /**
   * Returns which requests an upstream of the service may receive. An upstream that reports no
   * version is treated as one of a previous version.
   *
   * @param version the upstream's version, if reported
   * @return the traffic policy of the upstream
   */
  public TrafficPolicy trafficPolicy(Optional<UpstreamVersion> version) {
    if (isTargetVersion(version)) {
      return phase.targetTraffic();
    }
    return isPreviousVersion(version) ? phase.previousTraffic() : TrafficPolicy.NONE;
  }

  /**
   * Returns whether an upstream runs a version that was in force when the rollout was ordered.
   *
   * @param version the upstream's version, if reported
   * @return true if it does; also if the version or the previous versions are unknown
   */
  public boolean isPreviousVersion(Optional<UpstreamVersion> version) {
    boolean known = version.isEmpty() || before.isEmpty() || before.contains(version.get());
    return known && !isTargetVersion(version);
  }

  /**
   * Returns whether an upstream runs the target version.
   *
   * @param version the upstream's version, if reported
   * @return true if it does
   */
  public boolean isTargetVersion(Optional<UpstreamVersion> version) {
    return version.equals(Optional.of(order.to()));
  }

  /**
   * Returns the time by which the target version should be in force.
   *
   * @return log time in milliseconds
   */
  public long deadlineMs() {
    return orderedMs + order.durationMs();
  }

  /**
   * Returns the fraction of the rollout's duration that has elapsed.
   *
   * @param logTimeMs log time in milliseconds
   * @return 0 at the order, 1 at the deadline
   */
  public double elapsedFraction(long logTimeMs) {
    return (double) (logTimeMs - orderedMs) / order.durationMs();
  }

  /** Returns whether an order is a retry of this one, sent because the reply was lost. */
  boolean isDuplicateOrder(RolloutOrder other, long logTimeMs) {
    return order.equals(other) && logTimeMs - orderedMs <= RETRY_WINDOW_MS;
  }

  Rollout withPhase(RolloutPhase next, RolloutReason newReason) {
    return new Rollout(order, before, orderedMs, next, newReason, account);
  }

  Rollout withAccount(ExposureCounters newAccount) {
    return new Rollout(order, before, orderedMs, phase, reason, account.max(newAccount));
  }
}
