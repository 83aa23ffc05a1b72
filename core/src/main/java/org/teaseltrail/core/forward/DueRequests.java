package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Knows when the time of requests is over. A request may be scheduled several times; whoever takes
 * it looks whether its time has come.
 */
final class DueRequests {

  private final TreeMap<Long, List<TrackedForward>> byTimeNs = new TreeMap<>();

  void schedule(TrackedForward request) {
    byTimeNs.computeIfAbsent(request.wakeNs(), key -> new ArrayList<>()).add(request);
  }

  /** Returns when the next is due, {@link Long#MAX_VALUE} if there is none. */
  long nextNs() {
    return byTimeNs.isEmpty() ? Long.MAX_VALUE : byTimeNs.firstKey();
  }

  /** Takes out what is due. */
  List<TrackedForward> takeUntil(long nowNs) {
    List<TrackedForward> due = new ArrayList<>();
    while (nextNs() <= nowNs) {
      due.addAll(byTimeNs.pollFirstEntry().getValue());
    }
    return due;
  }
}
