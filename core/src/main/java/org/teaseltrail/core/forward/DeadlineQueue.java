package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Queue of requests ordered by their next deadline. A request may be scheduled several times; the
 * code that polls it checks whether its deadline has really passed.
 */
final class DeadlineQueue {

  private final TreeMap<Long, List<ActiveRequest>> byDeadlineNs = new TreeMap<>();

  void schedule(ActiveRequest request) {
    byDeadlineNs.computeIfAbsent(request.nextDeadlineNs(), key -> new ArrayList<>()).add(request);
  }

  /** Returns the next deadline, {@link Long#MAX_VALUE} if there is none. */
  long nextDeadlineNs() {
    return byDeadlineNs.isEmpty() ? Long.MAX_VALUE : byDeadlineNs.firstKey();
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<ActiveRequest> pollUntil(long nowNs) {
    List<ActiveRequest> expired = new ArrayList<>();
    while (nextDeadlineNs() <= nowNs) {
      expired.addAll(byDeadlineNs.pollFirstEntry().getValue());
    }
    return expired;
  }
}
