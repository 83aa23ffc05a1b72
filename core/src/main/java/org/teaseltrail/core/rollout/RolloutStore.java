package org.teaseltrail.core.rollout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

/** Holds the newest rollout of each service; part of the replicated state. */
public final class RolloutStore {

  private final Map<ServiceId, Rollout> rollouts = new LinkedHashMap<>();
  private long revision;

  /**
   * Builds the book that a snapshot holds.
   *
   * @param revision number of changes of phase so far
   * @param content the rollouts
   */
  public RolloutStore(long revision, List<Rollout> content) {
    this.revision = revision;
    content.forEach(rollout -> rollouts.put(rollout.order().service(), rollout));
  }

  /**
   * Takes an order.
   *
   * @param order the order
   * @param inForce versions of the service's upstreams that are ready
   * @param logTimeMs log time
   * @return what became of it
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
            .filter(version -> isFree(newest, version))
            .toList();
    put(Rollout.ordered(order, before, logTimeMs));
    return RolloutOrderResult.ACCEPTED;
  }

  /**
   * Turns a rollout to a later phase; one that is over already, or another one by now, stays.
   *
   * @param service its service
   * @param orderedMs log time of its order
   * @param next the phase
   * @param reason why
   * @return whether it has turned
   */
  public boolean turn(ServiceId service, long orderedMs, RolloutPhase next, RolloutReason reason) {
    Optional<Rollout> open = find(service).filter(known -> known.orderedMs() == orderedMs);
    boolean turns = open.isPresent() && open.get().phase().canTransitionTo(next);
    if (turns) {
      put(open.get().withPhase(next, reason));
    }
    return turns;
  }

  /**
   * Writes a rollout's account down.
   *
   * @param service its service
   * @param orderedMs log time of its order
   * @param account the account
   */
  public void account(ServiceId service, long orderedMs, ExposureCounters account) {
    find(service)
        .filter(known -> known.orderedMs() == orderedMs)
        .ifPresent(known -> rollouts.put(service, known.withAccount(account)));
  }

  /**
   * Finds a service's newest rollout.
   *
   * @param service the service
   * @return the rollout, if there was one
   */
  public Optional<Rollout> find(ServiceId service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  /**
   * Returns all rollouts.
   *
   * @return the newest of each service
   */
  public List<Rollout> all() {
    return List.copyOf(rollouts.values());
  }

  /**
   * Returns the number of orders and changes of phase so far.
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

  /** Guards against a version that was rolled back and comes into force by the next order. */
  private static boolean isFree(Rollout newest, UpstreamVersion version) {
    return newest == null || newest.trafficPolicy(Optional.of(version)) == TrafficPolicy.ALL;
  }
}
