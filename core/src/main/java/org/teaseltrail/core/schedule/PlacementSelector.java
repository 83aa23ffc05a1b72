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

/** Finds the tickets that can start now, in strict tier order. */
final class PlacementSelector {

  /** Tickets tried behind one that finds no room, so that a long one doesn't idle the pool. */
  private static final int LOOK_AHEAD = 8;

  private final PoolState state;
  private final UpstreamSelector selector;
  private final Map<TargetGroup, List<TrackedUpstream>> candidatesByGroup = new HashMap<>();
  private TrackedUpstream reserved;

  PlacementSelector(PoolState state) {
    this.state = state;
    this.selector = new UpstreamSelector(state.fleet(), state.settings());
  }

  /** Begins a round of placements: upstreams may have come, left or come free since the last. */
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
   * Keeps an upstream free of later tickets until a long one fits there. Guards against starvation:
   * short requests would fill every bit of room that comes free, and a long one of a higher tier
   * would never find enough at once.
   */
  private void reserve(PlacementResult choice) {
    if (reserved == null) {
      reserved = choice.upstreamToReserve();
    }
  }

  private List<TrackedUpstream> candidatesIn(TargetGroup group, long nowNs) {
    List<TrackedUpstream> known = candidatesByGroup.get(group);
    if (known == null) {
      known = group.candidates(nowNs);
      candidatesByGroup.put(group, known);
    }
    known.removeIf(account -> !account.hasFreeSlot(nowNs));
    return known;
  }
}
