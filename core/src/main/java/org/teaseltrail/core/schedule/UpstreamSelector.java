package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TargetGroup;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Chooses the upstream that is expected to finish a ticket first, among those that can start it
 * now. Prompt tokens that must be processed count for more than their own time, because they stall
 * the batch and because another engine may have them cached.
 */
final class UpstreamSelector {

  /** Group size up to which every engine's cache model is asked; above, only known holders'. */
  private static final int MAX_FULL_CACHE_CHECK = 32;

  /** Longest span of a request that is sent as a probe, in milliseconds. */
  private static final double PROBE_SPAN_MS = 2_000;

  private final UpstreamFleet fleet;
  private final SchedulerSettings settings;
  private final FinishTimeEstimator finishTimes;
  private final PrefixHoldPolicy hold;
  private int turn;

  UpstreamSelector(UpstreamFleet fleet, SchedulerSettings settings) {
    this.fleet = fleet;
    this.settings = settings;
    this.finishTimes = new FinishTimeEstimator(settings.prefillCostFactor());
    this.hold = new PrefixHoldPolicy(settings, finishTimes);
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
  PlacementResult select(
      TrackedTicket ticket,
      TargetGroup group,
      List<TrackedUpstream> open,
      TrackedUpstream reserved,
      long nowNs) {
    PlacementSearch search = new PlacementSearch(ticket, reserved, finishTimes, nowNs);
    if (!settings.isEnabled(PolicyPart.FINISH_TIME_CHOICE)) {
      return selectRoundRobin(search, open);
    }
    PlacementResult probe = probe(ticket, open, nowNs);
    if (probe.isPlaced()) {
      return probe;
    }
    boolean askAll = open.size() <= MAX_FULL_CACHE_CHECK;
    for (TrackedUpstream account : open) {
      search.consider(account, askAll);
    }
    List<TrackedUpstream> holders = fleet.prefixHolders(ticket);
    if (!askAll) {
      considerHolders(search, holders, group);
    }
    return hold.shouldHold(search, holders) ? PlacementResult.NONE : search.result();
  }

  private static void considerHolders(
      PlacementSearch search, List<TrackedUpstream> holders, TargetGroup group) {
    for (TrackedUpstream holder : holders) {
      if (group.hasBatchRoom(holder) && holder.isGrantable(search.nowNs())) {
        search.consider(holder, true);
      }
    }
  }

  /** Sends a short request to an engine that gets only probes, to see whether it has mended. */
  private PlacementResult probe(TrackedTicket ticket, List<TrackedUpstream> open, long nowNs) {
    boolean harmless =
        ticket.ticket().claim().isEmpty() && ticket.estimate().serviceTimeMs() <= PROBE_SPAN_MS;
    if (!harmless) {
      return PlacementResult.NONE;
    }
    long dueNs = nowNs - Nanos.fromMs(settings.probeIntervalMs());
    for (TrackedUpstream account : open) {
      if (account.state() == SpeedState.PROBED
          && account.lastGrantNs() <= dueNs
          && account.hasFreeSlot(nowNs)) {
        return PlacementResult.of(new Placement(ticket, account, 0, "probe=true"));
      }
    }
    return PlacementResult.NONE;
  }

  private PlacementResult selectRoundRobin(PlacementSearch search, List<TrackedUpstream> open) {
    for (int i = 0; i < open.size(); i++) {
      TrackedUpstream account = open.get((turn + i) % open.size());
      if (search.hasUsableSlot(account) && search.fits(account, 0)) {
        turn = (turn + i + 1) % open.size();
        return PlacementResult.of(new Placement(search.ticket(), account, 0, "turn=" + turn));
      }
    }
    return PlacementResult.NONE;
  }
}
