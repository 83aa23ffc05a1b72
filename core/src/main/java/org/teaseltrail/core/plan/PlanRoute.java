package org.teaseltrail.core.plan;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.id.RouteId;

/**
 * Route: match conditions of its requests, the target services, timeouts and latency objectives.
 *
 * @param id name of the route
 * @param host host that a request must name to match
 * @param pathPrefix prefix that its path must have to match; starts and ends with a slash
 * @param kind kind of its requests, which determines whether they can be retried
 * @param resumable whether a stream can be resumed at another upstream after its last event
 * @param targets services with weights, at least one of which is positive
 * @param timeoutMs maximum time until the final answer, in milliseconds
 * @param objectiveMs latency objective for the answer, or for the first event of a stream, in
 *     milliseconds
 * @param eventGapMs latency objective for the gap between two events of a stream, in milliseconds;
 *     0 on routes without streams
 * @param priority priority, 0 being the highest
 * @param maxAttempts maximum number of upstreams that one request may be sent to
 * @param needsKey whether a request must carry the API key of a customer
 */
public record PlanRoute(
    RouteId id,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    List<WeightedService> targets,
    long timeoutMs,
    long objectiveMs,
    long eventGapMs,
    int priority,
    int maxAttempts,
    boolean needsKey) {

  private static final long MIN_CALLER_TIMEOUT_MS = 2_000;

  /** Longer times make no difference, and sums and products with them would overflow. */
  private static final long MAX_MS = TimeUnit.DAYS.toMillis(1);

  /** Copies the list of targets, and bounds the times. */
  public PlanRoute {
    targets = List.copyOf(targets);
    timeoutMs = Math.min(MAX_MS, timeoutMs);
    objectiveMs = Math.max(0, Math.min(MAX_MS, objectiveMs));
    eventGapMs = Math.max(0, Math.min(MAX_MS, eventGapMs));
  }

  /**
   * Returns whether a request that may have been executed can be sent again.
   *
   * @return true if a second execution is harmless
   */
  public boolean canRetry() {
    return kind.canRetry(resumable);
  }

  /**
   * Returns how long callers wait for the first event of a stream before they disconnect. The
   * requirements set it to 2 s, four times the objective or eight times the event gap, whichever is
   * longest, and no longer than the timeout of the route.
   *
   * @return milliseconds; the timeout of the route if its answers are not streams
   */
  public long callerTimeoutMs() {
    if (kind != RouteKind.STREAMING) {
      return timeoutMs;
    }
    long longest = Math.max(MIN_CALLER_TIMEOUT_MS, Math.max(4 * objectiveMs, 8 * eventGapMs));
    return Math.min(timeoutMs, longest);
  }
}
