package org.teaseltrail.core.schedule;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.teaseltrail.core.schedule.fleet.InFlight;
import org.teaseltrail.core.schedule.ticket.Nanos;

/**
 * Drops work from the account of which no one will ever tell the end. Guards against slots that
 * stay taken for ever after a VM died with requests running, which would show as an upstream that
 * gets less and less. What is dropped is not granted again: it may have run.
 */
final class InFlightExpiry {

  private final PoolState state;
  private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingLong(Due::dueNs));

  InFlightExpiry(PoolState state) {
    this.state = state;
  }

  /** Watches a part of the account from now on. */
  void watch(InFlight part) {
    dues.add(new Due(silentUntilNs(part), part));
  }

  /** Notes that the VM of a part has lapsed. */
  void lapsed(InFlight part, long nowNs) {
    part.lapsedAt(nowNs);
    dues.add(new Due(keepUntilNs(part), part));
  }

  /** Returns when the next part may be dropped, in monotonic nanoseconds. */
  OptionalLong nextNs() {
    return dues.isEmpty() ? OptionalLong.empty() : OptionalLong.of(dues.peek().dueNs());
  }

  /** Drops the parts that are due. */
  void expire(long nowNs) {
    while (!dues.isEmpty() && dues.peek().dueNs() <= nowNs) {
      expireOne(dues.poll().part(), nowNs);
    }
  }

  private void expireOne(InFlight part, long nowNs) {
    Optional<InFlight> present = state.fleet().find(part.request());
    if (present.isEmpty() || present.get() != part) {
      return;
    }
    if (keepUntilNs(part) > nowNs) {
      dues.add(new Due(keepUntilNs(part), part));
      return;
    }
    state.fleet().remove(part, nowNs);
    drop(part, nowNs);
    state.out().upstream(part.upstreamId(), "in_flight=expired request=" + part.request());
  }

  /**
   * Forgets a request. One whose dispatch is proven is remembered as ended. One whose VM never
   * spoke of it may still wait there; only that VM's own new offer, which says so, starts it again.
   */
  private void drop(InFlight part, long nowNs) {
    if (part.isConfirmed()) {
      state.book().end(part.request(), nowNs);
    } else {
      state.book().forget(part.tracked());
    }
  }

  private long keepUntilNs(InFlight part) {
    long silentNs = silentUntilNs(part);
    if (!part.isLapsed()) {
      return silentNs;
    }
    long keepNs = Nanos.fromMs(state.settings().lapsedKeepMs());
    return Math.min(silentNs, Nanos.plus(part.lapsedNs(), keepNs));
  }

  private long silentUntilNs(InFlight part) {
    return Nanos.plus(part.heardNs(), Nanos.fromMs(state.settings().silentKeepMs()));
  }

  private record Due(long dueNs, InFlight part) {}
}
