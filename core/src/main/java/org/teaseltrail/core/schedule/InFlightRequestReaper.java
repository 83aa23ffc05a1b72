package org.teaseltrail.core.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.teaseltrail.core.schedule.fleet.InFlightRequest;
import org.teaseltrail.core.schedule.ticket.Nanos;

/**
 * Drops work from the account of which no one will ever tell the end. Guards against slots that
 * stay taken for ever after a VM died with requests running, which would show as an upstream that
 * gets less and less. What is dropped is not granted again: it may have run.
 */
final class InFlightRequestReaper {

  private final PoolState state;
  private final PriorityQueue<ScheduledExpiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(ScheduledExpiry::dueNs));

  InFlightRequestReaper(PoolState state) {
    this.state = state;
  }

  /** Watches a part of the account from now on. */
  void track(InFlightRequest part) {
    expiries.add(new ScheduledExpiry(silentUntilNs(part), part));
  }

  /** Notes that the VM of a part has lapsed. */
  void onVmSessionExpired(InFlightRequest part, long nowNs) {
    part.markVmSessionExpired(nowNs);
    expiries.add(new ScheduledExpiry(keepUntilNs(part), part));
  }

  /** Returns when the next part may be dropped, in monotonic nanoseconds. */
  OptionalLong nextExpiryNs() {
    return expiries.isEmpty() ? OptionalLong.empty() : OptionalLong.of(expiries.peek().dueNs());
  }

  /** Drops the parts that are due. */
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
    if (keepUntilNs(part) > nowNs) {
      expiries.add(new ScheduledExpiry(keepUntilNs(part), part));
      return;
    }
    state.fleet().remove(part, nowNs);
    drop(part, nowNs);
    state.output().upstream(part.upstreamId(), "in_flight=expired request=" + part.request());
  }

  /**
   * Forgets a request. One whose dispatch is proven is remembered as ended. One whose VM never
   * spoke of it may still wait there; only that VM's own new offer, which says so, starts it again.
   */
  private void drop(InFlightRequest part, long nowNs) {
    if (part.isDispatchConfirmed()) {
      state.ticketRegistry().end(part.request(), nowNs);
    } else {
      state.ticketRegistry().remove(part.trackedTicket());
    }
  }

  private long keepUntilNs(InFlightRequest part) {
    long silentNs = silentUntilNs(part);
    if (!part.isVmSessionExpired()) {
      return silentNs;
    }
    long keepNs = Nanos.fromMs(state.settings().expiredSessionRetentionMs());
    return Math.min(silentNs, Nanos.plus(part.vmSessionExpiredNs(), keepNs));
  }

  private long silentUntilNs(InFlightRequest part) {
    return Nanos.plus(part.heardNs(), Nanos.fromMs(state.settings().silentRequestTimeoutMs()));
  }

  private record ScheduledExpiry(long dueNs, InFlightRequest part) {}
}
