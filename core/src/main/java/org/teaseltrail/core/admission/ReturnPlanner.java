package org.teaseltrail.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.serving.Urgency;

/**
 * Plans when refused callers come back: after the queue is worked off and after the callers that
 * were told to come back before.
 *
 * <p>Otherwise all callers that are refused in a burst would come back together and find a queue as
 * long as the first.
 */
public final class ReturnPlanner {

  /** Fraction of the time that a caller has left up to which it honours a Retry-After. */
  private static final double HONOURED_FRACTION = 1.0 / 3;

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * The callers that wait for each other.
   *
   * @param service the service
   * @param urgency urgency of their requests
   * @param customer their customer, if they have one
   */
  public record Line(ServiceId service, Urgency urgency, Optional<CustomerId> customer) {}

  private final Map<Line, PriorityQueue<Long>> returnsNs = new HashMap<>();

  /** Creates a planner without planned returns. */
  public ReturnPlanner() {}

  /**
   * Plans the return of a caller. One that can't be served any more before its deadline is told the
   * time at which there will be room, which it doesn't honour.
   *
   * @param line the callers that it waits for
   * @param waitMs expected wait of a request like the refused one
   * @param growthMs time by which the wait grows with each request at each VM
   * @param remainingMs time that the caller has left
   * @param nowNs time, in nanoseconds
   * @return the Retry-After, in milliseconds
   */
  public long plan(Line line, long waitMs, long growthMs, long remainingMs, long nowNs) {
    PriorityQueue<Long> pending = returnsNs.computeIfAbsent(line, key -> new PriorityQueue<>());
    while (!pending.isEmpty() && pending.peek() <= nowNs) {
      pending.remove();
    }
    long roomMs = Math.max(1, waitMs + pending.size() * growthMs);
    if (roomMs >= remainingMs) {
      return roomMs;
    }
    long returnMs = Math.max(1, Math.min(roomMs, (long) (remainingMs * HONOURED_FRACTION)));
    pending.add(nowNs + returnMs * NS_PER_MS);
    return returnMs;
  }
}
