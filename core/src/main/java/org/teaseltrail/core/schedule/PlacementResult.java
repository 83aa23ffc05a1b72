package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.TrackedUpstream;

/**
 * Is the outcome of the search for an upstream.
 *
 * @param placement the placement, or null if the ticket can't start now
 * @param upstreamToReserve the upstream that is to drain for the ticket, because the ticket is too
 *     long for what room there is; null if there is none
 */
record PlacementResult(Placement placement, TrackedUpstream upstreamToReserve) {

  /** The ticket finds no room and needs none kept. */
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
