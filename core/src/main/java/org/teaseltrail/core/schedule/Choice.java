package org.teaseltrail.core.schedule;

import org.teaseltrail.core.schedule.fleet.UpstreamAccount;

/**
 * Is the outcome of the search for an upstream.
 *
 * @param placement the placement, or null if the ticket can't start now
 * @param tooFull the upstream that is to drain for the ticket, because the ticket is too long for
 *     what room there is; null if there is none
 */
record Choice(Placement placement, UpstreamAccount tooFull) {

  /** The ticket finds no room and needs none kept. */
  static final Choice NONE = new Choice(null, null);

  static Choice of(Placement placement) {
    return new Choice(placement, null);
  }

  static Choice drain(UpstreamAccount upstream) {
    return new Choice(null, upstream);
  }

  boolean isPlaced() {
    return placement != null;
  }
}
