package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;

/**
 * The result of selecting an upstream for a ticket.
 *
 * @param placement the placement, or null if the ticket can't start now
 * @param upstreamToReserve the upstream to keep free of later tickets until the ticket fits,
 *     because the ticket is longer than the room that any upstream has left; null if there is none
 */
record PlacementResult(Placement placement, TrackedUpstream upstreamToReserve) {

  /** No upstream can start the ticket now, and none is to be reserved for it. */
  static final PlacementResult NONE = new PlacementResult(null, null);

  static PlacementResult of(Placement placement) {
    return new PlacementResult(placement, null);
  }

  static PlacementResult drain(TrackedUpstream upstream) {
    return new PlacementResult(null, upstream);
  }

  boolean isPlaced() {
    return placement != null;
  }
}
