package org.teaseltrail.core.schedule;

import java.util.Optional;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.queue.RouteQueue;
import org.teaseltrail.core.schedule.queue.ServiceOrder;
import org.teaseltrail.core.schedule.queue.TierQueue;
import org.teaseltrail.core.schedule.queue.WaitingQueue;

/** Finds the next ticket that can start, in strict tier order. */
final class Dispatcher {

  /** Tickets tried behind one that finds no room, so that a long one doesn't idle the pool. */
  private static final int LOOK_AHEAD = 8;

  private final WaitingQueue queue;
  private final UpstreamFleet fleet;
  private final UpstreamChooser chooser;

  Dispatcher(WaitingQueue queue, UpstreamFleet fleet, UpstreamChooser chooser) {
    this.queue = queue;
    this.fleet = fleet;
    this.chooser = chooser;
  }

  /** Returns the next placement, or empty if no waiting ticket can start now. */
  Optional<Placement> next(Configuration configuration, long nowNs) {
    for (TierQueue tier : queue.tiers()) {
      for (RouteQueue routeQueue : tier.routes()) {
        Route route = configuration.routes().get(routeQueue.route());
        if (route == null || routeQueue.isEmpty()) {
          continue;
        }
        Optional<Placement> placement = firstThatFits(routeQueue, route, nowNs);
        if (placement.isPresent()) {
          return placement;
        }
      }
    }
    return Optional.empty();
  }

  private Optional<Placement> firstThatFits(RouteQueue routeQueue, Route route, long nowNs) {
    ServiceOrder order = routeQueue.inOrder();
    for (int tried = 0; tried < LOOK_AHEAD && order.hasNext(); tried++) {
      Optional<Placement> placement =
          chooser.choose(order.next(), fleet.group(route.target()), nowNs);
      if (placement.isPresent()) {
        return placement;
      }
    }
    return Optional.empty();
  }
}
