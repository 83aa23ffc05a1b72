package org.teaseltrail.core.schedule;

import java.util.List;
import org.teaseltrail.core.schedule.fleet.SpeedState;
import org.teaseltrail.core.schedule.fleet.TargetGroup;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.fleet.UpstreamFleet;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/**
 * Selects the upstream that is expected to finish a ticket first, among those that can start it
 * now. Prompt tokens that are not cached count for more than their processing time, because
 * processing them stalls the whole batch and because another engine may have them cached.
 */
final class UpstreamSelector {

  /**
   * Number of candidates up to which the cache model of each one is consulted; above it, only the
   * models of the known holders of the prefix are.
   */
  private static final int MAX_FULL_CACHE_CHECK = 32;

  /** Maximum service time of a request that is sent as a probe, in milliseconds. */
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
   * Selects an upstream for a ticket.
   *
   * @param ticket the ticket
   * @param group the upstreams that serve the ticket's target
   * @param candidates those of them that may be granted work, to select from
   * @param reserved an upstream that is reserved for a ticket before this one; null if there is
   *     none
   * @param nowNs monotonic time in nanoseconds
   */
  PlacementResult select(
      TrackedTicket ticket,
      TargetGroup group,
      List<TrackedUpstream> candidates,
      TrackedUpstream reserved,
      long nowNs) {
    PlacementSearch search = new PlacementSearch(ticket, reserved, finishTimes, nowNs);
    if (!settings.isEnabled(PolicyPart.FINISH_TIME_CHOICE)) {
      return selectRoundRobin(search, candidates);
    }
    PlacementResult probe = probe(ticket, candidates, nowNs);
    if (probe.isPlaced()) {
      return probe;
    }
    boolean checkAllCaches = candidates.size() <= MAX_FULL_CACHE_CHECK;
    for (TrackedUpstream account : candidates) {
      search.consider(account, checkAllCaches);
    }
    List<TrackedUpstream> holders = fleet.prefixHolders(ticket);
    if (!checkAllCaches) {
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

  /**
   * Places a short request without a claim on an engine that receives only probes, to find out
   * whether it has recovered.
   */
  private PlacementResult probe(
      TrackedTicket ticket, List<TrackedUpstream> candidates, long nowNs) {
    boolean eligible =
        ticket.ticket().claim().isEmpty() && ticket.estimate().serviceTimeMs() <= PROBE_SPAN_MS;
    if (!eligible) {
      return PlacementResult.NONE;
    }
    long dueNs = nowNs - Nanos.fromMs(settings.probeIntervalMs());
    for (TrackedUpstream account : candidates) {
      if (account.state() == SpeedState.PROBED
          && account.lastGrantNs() <= dueNs
          && account.hasFreeSlot(nowNs)) {
        return PlacementResult.of(new Placement(ticket, account, 0, "probe=true"));
      }
    }
    return PlacementResult.NONE;
  }

  private PlacementResult selectRoundRobin(
      PlacementSearch search, List<TrackedUpstream> candidates) {
    for (int i = 0; i < candidates.size(); i++) {
      TrackedUpstream account = candidates.get((turn + i) % candidates.size());
      if (search.hasUsableSlot(account) && search.fits(account, 0)) {
        turn = (turn + i + 1) % candidates.size();
        return PlacementResult.of(new Placement(search.ticket(), account, 0, "turn=" + turn));
      }
    }
    return PlacementResult.NONE;
  }
}
