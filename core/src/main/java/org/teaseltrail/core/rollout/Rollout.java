package org.teaseltrail.core.rollout;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamVersion;

/**
 * Is the record of a service's newest rollout. It alone says which upstreams requests may go to.
 *
 * @param order what was ordered
 * @param before versions that were in force when it was ordered; empty if there was none
 * @param orderedMs log time of the order, in milliseconds; tells a service's rollouts apart
 * @param phase how far it has come
 * @param reason why it turned to that phase
 * @param account requests that the ordered version may have got, and that reached the service
 */
public record Rollout(
    RolloutOrder order,
    List<UpstreamVersion> before,
    long orderedMs,
    RolloutPhase phase,
    RolloutReason reason,
    ExposureCounters account) {

  /** Time after the order in which the same order again is the same one, resent. */
  private static final long RESENT_MS = 10_000;

  /** Copies the list. */
  public Rollout {
    before = List.copyOf(before);
  }

  /** Begins a rollout. */
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
   * Says what requests an upstream of the service may get. One that tells no version is taken for
   * one of before.
   *
   * @param version the upstream's version, if it tells one
   * @return what it may get
   */
  public TrafficPolicy trafficPolicy(Optional<UpstreamVersion> version) {
    if (isTargetVersion(version)) {
      return phase.targetTraffic();
    }
    return isPreviousVersion(version) ? phase.previousTraffic() : TrafficPolicy.NONE;
  }

  /**
   * Tells whether an upstream has a version that was in force when the rollout was ordered.
   *
   * @param version the upstream's version, if it tells one
   * @return true if it has
   */
  public boolean isPreviousVersion(Optional<UpstreamVersion> version) {
    boolean known = version.isEmpty() || before.isEmpty() || before.contains(version.get());
    return known && !isTargetVersion(version);
  }

  /**
   * Tells whether an upstream has the ordered version.
   *
   * @param version the upstream's version, if it tells one
   * @return true if it has
   */
  public boolean isTargetVersion(Optional<UpstreamVersion> version) {
    return version.equals(Optional.of(order.to()));
  }

  /**
   * Returns by when it should be in force.
   *
   * @return log time in milliseconds
   */
  public long deadlineMs() {
    return orderedMs + order.durationMs();
  }

  /**
   * Returns how much of its time has passed.
   *
   * @param logTimeMs log time in milliseconds
   * @return 0 at the order, 1 at the deadline
   */
  public double elapsedFraction(long logTimeMs) {
    return (double) (logTimeMs - orderedMs) / order.durationMs();
  }

  /** Tells whether an order is this one, sent again since its answer was lost. */
  boolean isDuplicateOrder(RolloutOrder other, long logTimeMs) {
    return order.equals(other) && logTimeMs - orderedMs <= RESENT_MS;
  }

  Rollout withPhase(RolloutPhase next, RolloutReason why) {
    return new Rollout(order, before, orderedMs, next, why, account);
  }

  Rollout withAccount(ExposureCounters grown) {
    return new Rollout(order, before, orderedMs, phase, reason, account.max(grown));
  }
}
