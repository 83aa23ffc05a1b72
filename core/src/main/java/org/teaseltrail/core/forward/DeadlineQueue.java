package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Knows when the time of requests is over. A request may be scheduled several times; whoever takes
 * it looks whether its time has come.
 */
final class DeadlineQueue {

  private final TreeMap<Long, List<ActiveRequest>> byTimeNs = new TreeMap<>();

  void schedule(ActiveRequest request) {
    byTimeNs.computeIfAbsent(request.nextDeadlineNs(), key -> new ArrayList<>()).add(request);
  }

  /** Returns when the next is due, {@link Long#MAX_VALUE} if there is none. */
  long nextDeadlineNs() {
    return byTimeNs.isEmpty() ? Long.MAX_VALUE : byTimeNs.firstKey();
  }

  /** Takes out what is due. */
  List<ActiveRequest> pollUntil(long nowNs) {
    List<ActiveRequest> due = new ArrayList<>();
    while (nextDeadlineNs() <= nowNs) {
      due.addAll(byTimeNs.pollFirstEntry().getValue());
    }
    return due;
  }
}
