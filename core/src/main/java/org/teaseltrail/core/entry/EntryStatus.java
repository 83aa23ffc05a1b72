package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.Millis;
import org.teaseltrail.core.request.RequestState;

/**
 * Counts of an entry VM for its metrics.
 *
 * @param waitingRequests number of requests that wait for an upstream
 * @param runningRequests number of dispatched requests that have not ended
 * @param revision revision of the applied configuration
 * @param fencing greatest known fencing number
 * @param sessionLeftMs time until the session ends unless it is renewed; zero or less after it has
 *     ended
 */
public record EntryStatus(
    int waitingRequests, int runningRequests, long revision, long fencing, long sessionLeftMs) {

  static EntryStatus of(EntryComponents parts, long nowNs) {
    int running =
        parts.requests.count(RequestState.DISPATCHED)
            + parts.requests.count(RequestState.STREAMING);
    long leftMs = Millis.ofNanos(parts.session.confirmedUntilNs().orElse(nowNs) - nowNs);
    return new EntryStatus(
        parts.requests.waiting().size(),
        running,
        parts.configuration.revision().value(),
        parts.session.fencing().value(),
        leftMs);
  }
}
