package org.teaseltrail.core.schedule;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.schedule.fleet.UpstreamAccount;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Chooses the upstream that is expected to finish a ticket first, among those with room. */
final class UpstreamChooser {

  /** Returns the placement of a ticket on the best upstream of the group that has room now. */
  Optional<Placement> choose(TrackedTicket ticket, List<UpstreamAccount> group, long nowNs) {
    UpstreamAccount best = null;
    for (UpstreamAccount account : group) {
      if (account.isGrantable(nowNs) && account.hasSlot() && isBetter(account, best)) {
        best = account;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    String reason = "in_flight=" + best.inFlightCount() + " prefill=" + best.prefillTokens();
    return Optional.of(new Placement(ticket, best, 0, reason));
  }

  private static boolean isBetter(UpstreamAccount account, UpstreamAccount best) {
    return best == null || account.footprintTokens() < best.footprintTokens();
  }
}
