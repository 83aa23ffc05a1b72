package org.teaseltrail.core.forward;

import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Bounds a line by the pace at which it is served.
 *
 * <p>Guards against a line that grows under more load than fits: each request in it would be held
 * until its caller leaves, and told nothing it can act on. What can't be served at the line's pace
 * before its patience ends is told so at once, the least urgent first.
 */
final class QueueLengthLimiter {

  /** When a caller may come back that found no place: about a short answer's time. */
  static final long NO_SLOT_RETRY_MS = 400;

  /** Longest such time; a third of the shortest deadline that callers honour it for. */
  private static final long LONGEST_RETRY_MS = 1_500;

  /** Pace that a line is given at least, so that a service that is just back isn't shed. */
  private static final double LEAST_PACE_PER_S = 4;

  /**
   * Requests a second that a place is taken to serve at least: the users' streams hold one for 0.2
   * to 1.3 s. It counts while a line has no pace yet, as after a start.
   */
  private static final double PACE_OF_PLACE_PER_S = 2;

  /** Requests that may wait whatever the pace. */
  private static final int LEAST_LINE = 4;

  private static final double MS_PER_S = 1e3;

  private final RequestQueue waiting;
  private final IntSupplier ownPlaces;

  /**
   * Creates the bound of a line.
   *
   * @param waiting the line
   * @param ownPlaces counts the service's places that this VM may fill if it hears from no leader;
   *     asked only for a line that may be too long
   */
  QueueLengthLimiter(RequestQueue waiting, IntSupplier ownPlaces) {
    this.waiting = waiting;
    this.ownPlaces = ownPlaces;
  }

  /** Returns the least urgent request of a line that is too long. */
  Optional<ActiveRequest> findExcess(long nowNs) {
    if (waiting.size() <= LEAST_LINE) {
      return Optional.empty();
    }
    return waiting
        .leastUrgent()
        .filter(last -> waiting.size() > pace(nowNs) * last.maxQueueWaitS());
  }

  /** Returns when a caller may come back for which the line is too long, in milliseconds. */
  long retryAfterMs(long nowNs) {
    long servedInMs = (long) (waiting.size() / pace(nowNs) * MS_PER_S);
    return Math.max(NO_SLOT_RETRY_MS, Math.min(LONGEST_RETRY_MS, servedInMs));
  }

  private double pace(long nowNs) {
    double usual = Math.max(LEAST_PACE_PER_S, PACE_OF_PLACE_PER_S * ownPlaces.getAsInt());
    return Math.max(usual, waiting.dispatchesPerSecond(nowNs));
  }
}
