package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TargetGroup;
import org.teaseltrail.core.schedule.fleet.UpstreamAccount;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Chooses the upstream that is expected to finish a ticket first, among those that can start it
 * now. Prompt tokens that must be processed count for more than their own time, because they stall
 * the batch and because another engine may have them cached.
 */
final class UpstreamChooser {

  /** Group size up to which every engine's cache model is asked; above, only known holders'. */
  private static final int ASK_ALL = 32;

  /** Longest span of a request that is sent as a probe, in milliseconds. */
  private static final double PROBE_SPAN_MS = 2_000;

  private final UpstreamFleet fleet;
  private final SchedulerSettings settings;
  private final FinishTime finish;
  private final PrefixHold hold;
  private int turn;

  UpstreamChooser(UpstreamFleet fleet, SchedulerSettings settings) {
    this.fleet = fleet;
    this.settings = settings;
    this.finish = new FinishTime(settings.prefillPrice());
    this.hold = new PrefixHold(settings, finish);
  }

  /**
   * Chooses among upstreams.
   *
   * @param ticket the ticket
   * @param group the upstreams that serve the ticket's target
   * @param open those of them to choose from, which may be granted work
   * @param reserved an upstream that drains for a ticket before this one; null if none does
   * @param nowNs monotonic time in nanoseconds
   */
  Choice choose(
      TrackedTicket ticket,
      TargetGroup group,
      List<UpstreamAccount> open,
      UpstreamAccount reserved,
      long nowNs) {
    PlacementSearch search = new PlacementSearch(ticket, reserved, finish, nowNs);
    if (!settings.has(PolicyPart.FINISH_TIME_CHOICE)) {
      return nextInTurn(search, open);
    }
    Choice probe = probe(ticket, open, nowNs);
    if (probe.isPlaced()) {
      return probe;
    }
    boolean askAll = open.size() <= ASK_ALL;
    for (UpstreamAccount account : open) {
      search.consider(account, askAll);
    }
    List<UpstreamAccount> holders = fleet.prefixHolders(ticket);
    if (!askAll) {
      considerHolders(search, holders, group);
    }
    return hold.holds(search, holders) ? Choice.NONE : search.result();
  }

  private static void considerHolders(
      PlacementSearch search, List<UpstreamAccount> holders, TargetGroup group) {
    for (UpstreamAccount holder : holders) {
      if (group.isFree(holder) && holder.isGrantable(search.nowNs())) {
        search.consider(holder, true);
      }
    }
  }

  /** Sends a short request to an engine that gets only probes, to see whether it has mended. */
  private Choice probe(TrackedTicket ticket, List<UpstreamAccount> open, long nowNs) {
    boolean harmless =
        ticket.ticket().claim().isEmpty() && ticket.estimate().spanMs() <= PROBE_SPAN_MS;
    if (!harmless) {
      return Choice.NONE;
    }
    long dueNs = nowNs - Nanos.fromMs(settings.probeIntervalMs());
    for (UpstreamAccount account : open) {
      if (account.state() == SpeedState.PROBED
          && account.lastGrantNs() <= dueNs
          && account.hasSlot(nowNs)) {
        return Choice.of(new Placement(ticket, account, 0, "probe=true"));
      }
    }
    return Choice.NONE;
  }

  private Choice nextInTurn(PlacementSearch search, List<UpstreamAccount> open) {
    for (int i = 0; i < open.size(); i++) {
      UpstreamAccount account = open.get((turn + i) % open.size());
      if (search.canTake(account) && search.fits(account, 0)) {
        turn = (turn + i + 1) % open.size();
        return Choice.of(new Placement(search.ticket(), account, 0, "turn=" + turn));
      }
    }
    return Choice.NONE;
  }
}
