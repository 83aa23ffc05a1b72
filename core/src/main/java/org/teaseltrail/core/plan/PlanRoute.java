package org.teaseltrail.core.plan;

import java.util.List;
import org.teaseltrail.core.id.RouteId;

/**
 * Is a route: which requests it takes, where they go and what is owed to them.
 *
 * @param id the route's name
 * @param host the host that requests name
 * @param pathPrefix how their paths begin; begins and ends with a slash
 * @param kind what its requests are
 * @param resumable whether a stream may go on at another upstream after its last event
 * @param targets services with weights, at least one of them positive
 * @param timeoutMs longest time until the final answer, in milliseconds
 * @param objectiveMs time to the answer, or to a stream's first event, that counts as on time, in
 *     milliseconds
 * @param eventGapMs longest pause between a stream's events that counts as on time, in
 *     milliseconds; 0 on routes without streams
 * @param priority rank, 0 the highest
 * @param maxAttempts most upstreams that one request may be sent to
 * @param needsKey whether a request must carry a customer's key
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

  private static final long LEAST_PATIENCE_MS = 2_000;

  /** Copies the list. */
  public PlanRoute {
    targets = List.copyOf(targets);
  }

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @return true if a second run harms nobody
   */
  public boolean canRetry() {
    return kind.canRetry(resumable);
  }

  /**
   * Returns how long callers wait for a stream's first event before they leave, by the contract
   * with the users: 2 s, four objectives or eight pauses, whichever is longest.
   *
   * @return milliseconds
   */
  public long callerTimeoutMs() {
    if (kind != RouteKind.STREAMING) {
      return timeoutMs;
    }
    long longest = Math.max(LEAST_PATIENCE_MS, Math.max(4 * objectiveMs, 8 * eventGapMs));
    return Math.min(timeoutMs, longest);
  }
}
