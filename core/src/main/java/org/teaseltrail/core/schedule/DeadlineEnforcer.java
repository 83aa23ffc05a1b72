package org.teaseltrail.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.Nanos;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;

/** Refuses waiting requests whose deadline has passed or whose route has no serving upstream. */
final class DeadlineEnforcer {

  private final PoolState state;
  private final VmReportTracker vmReports;
  private final RefusalHandler refusals;
  private final Map<RouteId, Long> lastServedNs = new HashMap<>();

  DeadlineEnforcer(PoolState state, VmReportTracker vmReports, RefusalHandler refusals) {
    this.state = state;
    this.vmReports = vmReports;
    this.refusals = refusals;
  }

  /** Returns the earliest deadline of a waiting request, in monotonic nanoseconds. */
  OptionalLong nextDeadlineNs() {
    Optional<TrackedTicket> first = state.queue().firstDeadline();
    return first.isEmpty() ? OptionalLong.empty() : OptionalLong.of(first.get().deadlineNs());
  }

  /** Refuses the waiting requests whose deadline has passed. */
  void refuseExpired(long nowNs) {
    Optional<TrackedTicket> first = state.queue().firstDeadline();
    while (first.isPresent() && first.get().deadlineNs() <= nowNs) {
      TrackedTicket ticket = first.get();
      String reason = "waited_ms=" + Nanos.toMs(nowNs - ticket.arrivalNs());
      refusals.refuseWaiting(ticket, RefusalKind.DEADLINE, 0, reason, nowNs);
      first = state.queue().firstDeadline();
    }
  }

  /**
   * Refuses the waiting requests of routes that have had no serving upstream for longer than the
   * configured timeout. The timeout is there because upstreams take time to announce themselves
   * after a change. Nothing is refused until every VM has reported, since a VM that has not
   * reported may know further upstreams.
   */
  void refuseRoutesWithoutUpstream(long nowNs) {
    lastServedNs.keySet().retainAll(state.configuration().routes().keySet());
    for (Route route : state.configuration().routes().values()) {
      Long before = lastServedNs.putIfAbsent(route.id(), nowNs);
      if (before == null || isServed(route.target(), nowNs)) {
        lastServedNs.put(route.id(), nowNs);
      }
    }
    boolean anyUnserved = lastServedNs.keySet().stream().anyMatch(r -> isUnserved(r, nowNs));
    if (anyUnserved && vmReports.hasAllReports()) {
      state.ticketRegistry().waiting().stream()
          .filter(t -> isUnserved(t.ticket().route(), nowNs))
          .forEach(t -> refuseUnserved(t, nowNs));
    }
  }

  /** Returns whether a route has had no serving upstream for longer than the timeout. */
  boolean isUnserved(RouteId route, long nowNs) {
    long limitNs = Nanos.fromMs(state.settings().noUpstreamTimeoutMs());
    return nowNs - lastServedNs.getOrDefault(route, nowNs) > limitNs;
  }

  private void refuseUnserved(TrackedTicket ticket, long nowNs) {
    String reason = "route=" + ticket.ticket().route();
    long retryAfterMs = state.settings().noUpstreamTimeoutMs();
    refusals.refuseWaiting(ticket, RefusalKind.NO_UPSTREAM, retryAfterMs, reason, nowNs);
  }

  private boolean isServed(RouteTarget target, long nowNs) {
    for (TrackedUpstream account : state.fleet().group(target).all()) {
      if (account.isServing(nowNs)) {
        return true;
      }
    }
    return false;
  }
}
