package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.Millis;
import org.teaseltrail.core.request.RequestState;

/**
 * Counts what an entry VM holds.
 *
 * @param waitingRequests requests that wait for an upstream
 * @param runningRequests requests that were dispatched and haven't ended
 * @param revision the configuration in force
 * @param fencing the greatest leadership seen
 * @param sessionLeftMs time until the session ends unless renewed; zero or less once it has
 */
public record EntryStatus(
    int waitingRequests, int runningRequests, long revision, long fencing, long sessionLeftMs) {

  static EntryStatus of(EntryContext parts, long nowNs) {
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
