package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.ServiceId;

/**
 * Limits a VM that places requests by itself to the slots of engines that the leader dealt to it,
 * and spreads the requests for plain HTTP services over their free room.
 *
 * <p>All VMs have the same picture of the load, which is as old as the last sync. If all chose the
 * emptiest upstream of it, they would fill the same one far beyond its slots.
 */
final class DealtSlotFilter {

  private final ServiceFeature feature;
  private final UpstreamTracker upstreams;
  private final SlotGrantTracker grants;

  DealtSlotFilter(ContentionSettings settings, UpstreamTracker upstreams, SlotGrantTracker grants) {
    this.grants = grants;
    feature = new ServiceFeature(settings.dealtSlots(), upstreams);
    this.upstreams = upstreams;
  }

  /** Returns whether slots of a service are dealt. */
  boolean appliesTo(ServiceId service) {
    return feature.appliesTo(service);
  }

  /**
   * Returns the engines at which this VM has a dealt slot free. Where the leader grants permits
   * instead of slots, the permits are the limit.
   *
   * <p>While the leader is silent, this VM's requests at slots that were dealt to others count,
   * too: as many of its own dealt slots stay idle, so that all VMs together don't exceed all slots.
   *
   * @param service the service
   * @param candidates the upstreams that accept the request
   * @param maxUtilization utilization of the dealt slots from which on none is free
   * @param nowNs current time, in nanoseconds
   */
  List<UpstreamState> withDealtSlot(
      ServiceId service, List<UpstreamState> candidates, double maxUtilization, long nowNs) {
    boolean isDealt = upstreams.of(service).stream().anyMatch(UpstreamState::isDealt);
    boolean allUsed = isDealt && grants.isLeaderSilent(nowNs) && areAllUsed(service);
    return candidates.stream()
        .filter(
            upstream ->
                upstream.backpressure().isLimited()
                    || (!allUsed
                        && upstream.ownInFlight() < maxUtilization * upstream.dealtSlots(isDealt)))
        .toList();
  }

  /** Returns whether this VM has as many requests anywhere as slots were dealt to it. */
  private boolean areAllUsed(ServiceId service) {
    int unused = 0;
    for (UpstreamState upstream : upstreams.of(service)) {
      unused += upstream.dealtSlots(true) - upstream.ownInFlight();
    }
    return unused <= 0;
  }

  /** Returns the number of slots that were dealt to this VM. */
  int dealtSlots() {
    return upstreams.sum(state -> isDealt(state) ? state.dealtSlots(true) : 0);
  }

  /** Returns the number of dealt slots that this VM uses. */
  int usedSlots() {
    return upstreams.sum(
        state -> isDealt(state) ? Math.min(state.ownInFlight(), state.dealtSlots(true)) : 0);
  }

  private boolean isDealt(UpstreamState state) {
    return state.isDealt() && appliesTo(state.registration().service());
  }

  /**
   * Draws an upstream at random, in proportion to its weight.
   *
   * @param candidates the upstreams that accept the request
   * @param weight the free room of an upstream, 0 or less if it has none
   * @param random source of the draw
   * @return the upstream, empty if none has room
   */
  static Optional<UpstreamState> draw(
      Collection<UpstreamState> candidates,
      ToDoubleFunction<UpstreamState> weight,
      RandomGenerator random) {
    List<UpstreamState> withRoom =
        candidates.stream().filter(upstream -> weight.applyAsDouble(upstream) > 0).toList();
    double drawn = random.nextDouble() * withRoom.stream().mapToDouble(weight).sum();
    for (UpstreamState upstream : withRoom) {
      drawn -= weight.applyAsDouble(upstream);
      if (drawn < 0) {
        return Optional.of(upstream);
      }
    }
    return withRoom.stream().reduce((first, last) -> last);
  }
}
