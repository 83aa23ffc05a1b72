package org.teaseltrail.core.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.schedule.fleet.TargetGroup;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.queue.RouteQueue;
import org.teaseltrail.core.schedule.queue.ServiceOrderIterator;
import org.teaseltrail.core.schedule.queue.TierQueue;

/** Selects the waiting tickets that can start now and their upstreams, in strict tier order. */
final class PlacementSelector {

  /**
   * Number of tickets that are tried per route queue in one round. Trying those behind the head
   * avoids head-of-line blocking: a long ticket that fits nowhere would leave the pool idle.
   */
  private static final int LOOK_AHEAD = 8;

  private final PoolState state;
  private final UpstreamSelector selector;
  private final Map<TargetGroup, List<TrackedUpstream>> candidatesByGroup = new HashMap<>();
  private TrackedUpstream reserved;

  PlacementSelector(PoolState state) {
    this.state = state;
    this.selector = new UpstreamSelector(state.fleet(), state.settings());
  }

  /**
   * Begins a round of placements and discards the candidates of the previous round, since upstreams
   * may have joined, left or freed a slot in between.
   */
  void beginRound() {
    candidatesByGroup.clear();
  }

  /** Returns the next placement of the round, or empty if no waiting ticket can start now. */
  Optional<Placement> next(long nowNs) {
    reserved = null;
    for (TierQueue tier : state.queue().tiers()) {
      for (RouteQueue routeQueue : tier.routes()) {
        Optional<Placement> placement = firstThatFits(routeQueue, nowNs);
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  private Optional<Placement> firstThatFits(RouteQueue routeQueue, long nowNs) {
    Route route = state.configuration().routes().get(routeQueue.route());
    if (route == null || routeQueue.isEmpty()) {
      return Optional.empty();
    }
    TargetGroup group = state.fleet().group(route.target());
    List<TrackedUpstream> candidates = candidatesIn(group, nowNs);
    ServiceOrderIterator order = routeQueue.serviceOrder();
    for (int tried = 0; tried < LOOK_AHEAD && !candidates.isEmpty() && order.hasNext(); tried++) {
      PlacementResult choice = selector.select(order.next(), group, candidates, reserved, nowNs);
      if (choice.isPlaced()) {
        return Optional.of(choice.placement());
      }
      reserve(choice);
    }
    return Optional.empty();
  }

  /**
   * Reserves an upstream for a long ticket that does not fit yet: later tickets of the round are
   * not placed there. Without the reservation a long ticket of a higher tier starves, because short
   * requests take any capacity as soon as it is freed.
   */
  private void reserve(PlacementResult choice) {
    if (reserved == null) {
      reserved = choice.upstreamToReserve();
    }
  }

  private List<TrackedUpstream> candidatesIn(TargetGroup group, long nowNs) {
    List<TrackedUpstream> candidates = candidatesByGroup.get(group);
    if (candidates == null) {
      candidates = group.candidates(nowNs);
      candidatesByGroup.put(group, candidates);
    }
    candidates.removeIf(account -> !account.hasFreeSlot(nowNs));
    return candidates;
  }
}
