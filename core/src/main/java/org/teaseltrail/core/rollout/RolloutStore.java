package org.teaseltrail.core.rollout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

/** Store of the latest rollout of each service; part of the replicated state. */
public final class RolloutStore {

  private final Map<ServiceId, Rollout> rollouts = new LinkedHashMap<>();
  private long revision;

  /**
   * Restores the store from a snapshot.
   *
   * @param revision number of orders and phase changes so far
   * @param content the rollouts
   */
  public RolloutStore(long revision, List<Rollout> content) {
    this.revision = revision;
    content.forEach(rollout -> rollouts.put(rollout.order().service(), rollout));
  }

  /**
   * Starts a rollout, unless the order is rejected.
   *
   * @param order the order
   * @param inForce versions of the upstreams of the service that are ready
   * @param logTimeMs log time
   * @return the result of the order
   */
  public RolloutOrderResult order(
      RolloutOrder order, List<UpstreamVersion> inForce, long logTimeMs) {
    Rollout newest = rollouts.get(order.service());
    if (newest != null && newest.phase().isOpen()) {
      return RolloutOrderResult.ALREADY_RUNNING;
    }
    if (newest != null && newest.isDuplicateOrder(order, logTimeMs)) {
      return RolloutOrderResult.REPEATED;
    }
    if (!order.hasValidDuration()) {
      return RolloutOrderResult.BAD_DURATION;
    }
    if (inForce.equals(List.of(order.to())) || isInForce(newest, order.to())) {
      return RolloutOrderResult.ALREADY_IN_FORCE;
    }
    List<UpstreamVersion> before =
        inForce.stream()
            .filter(version -> !version.equals(order.to()))
            .filter(version -> isUnrestricted(newest, version))
            .toList();
    put(Rollout.ordered(order, before, logTimeMs));
    return RolloutOrderResult.ACCEPTED;
  }

  /**
   * Moves a rollout to a later phase. Nothing changes if it has ended or if a newer rollout has
   * replaced it.
   *
   * @param service the service
   * @param orderedMs log time of the order
   * @param next the phase
   * @param reason reason for the transition
   * @return whether the phase has changed
   */
  public boolean turn(ServiceId service, long orderedMs, RolloutPhase next, RolloutReason reason) {
    Optional<Rollout> current = find(service).filter(rollout -> rollout.orderedMs() == orderedMs);
    boolean allowed = current.isPresent() && current.get().phase().canTransitionTo(next);
    if (allowed) {
      put(current.get().withPhase(next, reason));
    }
    return allowed;
  }

  /**
   * Raises the request counters of a rollout.
   *
   * @param service the service
   * @param orderedMs log time of the order
   * @param account the counters
   */
  public void account(ServiceId service, long orderedMs, ExposureCounters account) {
    find(service)
        .filter(rollout -> rollout.orderedMs() == orderedMs)
        .ifPresent(rollout -> rollouts.put(service, rollout.withAccount(account)));
  }

  /**
   * Finds the latest rollout of a service.
   *
   * @param service the service
   * @return the rollout, if the service has had one
   */
  public Optional<Rollout> find(ServiceId service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  /**
   * Returns all rollouts.
   *
   * @return the latest rollout of each service
   */
  public List<Rollout> all() {
    return List.copyOf(rollouts.values());
  }

  /**
   * Returns the number of orders and phase changes so far.
   *
   * @return the revision
   */
  public long revision() {
    return revision;
  }

  private void put(Rollout rollout) {
    rollouts.put(rollout.order().service(), rollout);
    revision++;
  }

  private static boolean isInForce(Rollout newest, UpstreamVersion version) {
    return newest != null
        && newest.phase() == RolloutPhase.COMPLETED
        && newest.order().to().equals(version);
  }

  /**
   * Returns whether a version may receive all requests. It keeps a version that was rolled back,
   * but still has registered upstreams, from coming into force with the next order.
   */
  private static boolean isUnrestricted(Rollout newest, UpstreamVersion version) {
    return newest == null || newest.trafficPolicy(Optional.of(version)) == TrafficPolicy.ALL;
  }
}
