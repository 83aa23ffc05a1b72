package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;

/**
 * Bounds a line by the pace at which it is served.
 *
 * <p>Guards against a line that grows under more load than fits: each request in it would be held
 * until its caller leaves, and told nothing it can act on. What can't be served at the line's pace
 * before its patience ends is told so at once, the least urgent first.
 *
 * <p>Requests that can't be on time any more are bounded by the pace at which such ones are served.
 * While there is more load than fits, that is none: those on time always go first, and a late one
 * would be held to the end and refused then. Told at once, its caller can come back when there is
 * room.
 */
final class LineBound {

  /** When a caller may come back that found no place: about a short answer's time. */
  static final long PLACE_RETRY_MS = 400;

  /** Longest such time; a third of the shortest deadline that callers honour it for. */
  private static final long LONGEST_RETRY_MS = 1_500;

  /** Pace that a line is given at least, so that a service that is just back isn't shed. */
  private static final double LEAST_PACE_PER_S = 4;

  /** Requests that may wait whatever the pace. */
  private static final int LEAST_LINE = 4;

  /** Of these, requests that can't be on time any more; each VM tries some, so that one shows. */
  private static final int LEAST_LATE = 2;

  private static final double MS_PER_S = 1e3;

  private LineBound() {}

  /** Returns the least urgent request of a line that is too long. */
  static Optional<TrackedForward> excess(WaitingLine waiting, long nowNs) {
    return lateExcess(waiting, nowNs)
        .or(() -> waiting.last().filter(last -> waiting.size() > bound(waiting, last, nowNs)));
  }

  private static Optional<TrackedForward> lateExcess(WaitingLine waiting, long nowNs) {
    List<TrackedForward> late = waiting.late();
    if (late.size() <= LEAST_LATE) {
      return Optional.empty();
    }
    TrackedForward last = late.get(late.size() - 1);
    double bound = waiting.latePacePerSecond(nowNs) * last.longestWaitS();
    return late.size() > Math.max(LEAST_LATE, bound) ? Optional.of(last) : Optional.empty();
  }

  private static double bound(WaitingLine waiting, TrackedForward last, long nowNs) {
    return Math.max(LEAST_LINE, pace(waiting, nowNs) * last.longestWaitS());
  }

  /** Returns when a caller may come back for which a line is too long, in milliseconds. */
  static long retryAfterMs(WaitingLine waiting, long nowNs) {
    long servedInMs = (long) (waiting.size() / pace(waiting, nowNs) * MS_PER_S);
    return Math.max(PLACE_RETRY_MS, Math.min(LONGEST_RETRY_MS, servedInMs));
  }

  private static double pace(WaitingLine waiting, long nowNs) {
    return Math.max(LEAST_PACE_PER_S, waiting.pacePerSecond(nowNs));
  }
}
