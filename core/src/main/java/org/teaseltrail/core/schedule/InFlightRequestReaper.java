package org.teaseltrail.core.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.teaseltrail.core.schedule.fleet.InFlightRequest;
import org.teaseltrail.core.schedule.ticket.Nanos;

/**
 * Removes in-flight requests whose end will not be reported any more, because their VM has died or
 * has sent nothing about them for too long. Otherwise their slots would stay occupied and their
 * upstream would receive less and less work. A removed request is not granted again, since it may
 * have run.
 */
final class InFlightRequestReaper {

  private final PoolState state;
  private final PriorityQueue<ScheduledExpiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(ScheduledExpiry::dueNs));

  InFlightRequestReaper(PoolState state) {
    this.state = state;
  }

  /** Starts tracking an in-flight request. */
  void track(InFlightRequest part) {
    expiries.add(new ScheduledExpiry(silentUntilNs(part), part));
  }

  /** Schedules the removal of an in-flight request whose VM's session has expired. */
  void onVmSessionExpired(InFlightRequest part, long nowNs) {
    part.markVmSessionExpired(nowNs);
    expiries.add(new ScheduledExpiry(retainUntilNs(part), part));
  }

  /** Returns when the next in-flight request may have to be removed, in monotonic nanoseconds. */
  OptionalLong nextExpiryNs() {
    return expiries.isEmpty() ? OptionalLong.empty() : OptionalLong.of(expiries.peek().dueNs());
  }

  /** Removes the in-flight requests whose retention time has passed. */
  void expire(long nowNs) {
    while (!expiries.isEmpty() && expiries.peek().dueNs() <= nowNs) {
      expireOne(expiries.poll().part(), nowNs);
    }
  }

  private void expireOne(InFlightRequest part, long nowNs) {
    Optional<InFlightRequest> present = state.fleet().find(part.request());
    if (present.isEmpty() || present.get() != part) {
      return;
    }
    if (retainUntilNs(part) > nowNs) {
      expiries.add(new ScheduledExpiry(retainUntilNs(part), part));
      return;
    }
    state.fleet().remove(part, nowNs);
    drop(part, nowNs);
    state.output().upstream(part.upstreamId(), "in_flight=expired request=" + part.request());
  }

  /**
   * Removes a request from the ticket registry. If its dispatch is confirmed, the request is
   * recorded as ended. Otherwise it may still wait at its VM, and it is started again only if that
   * VM offers it again.
   */
  private void drop(InFlightRequest part, long nowNs) {
    if (part.isDispatchConfirmed()) {
      state.ticketRegistry().end(part.request(), nowNs);
    } else {
      state.ticketRegistry().remove(part.trackedTicket());
    }
  }

  private long retainUntilNs(InFlightRequest part) {
    long silentUntilNs = silentUntilNs(part);
    if (!part.isVmSessionExpired()) {
      return silentUntilNs;
    }
    long retentionNs = Nanos.fromMs(state.settings().expiredSessionRetentionMs());
    return Math.min(silentUntilNs, Nanos.plus(part.vmSessionExpiredNs(), retentionNs));
  }

  private long silentUntilNs(InFlightRequest part) {
    return Nanos.plus(part.heardNs(), Nanos.fromMs(state.settings().silentRequestTimeoutMs()));
  }

  private record ScheduledExpiry(long dueNs, InFlightRequest part) {}
}
