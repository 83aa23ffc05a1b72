package org.teaseltrail.core.forward;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Holds requests that wait for a place at a service's upstreams, the most urgent first. */
final class WaitingLine {

  private final TreeSet<TrackedForward> waiting =
      new TreeSet<>(
          Comparator.comparingInt(TrackedForward::customerRank)
              .thenComparingInt(tracked -> tracked.route().priority())
              .thenComparingLong(TrackedForward::number));

  void add(TrackedForward tracked) {
    waiting.add(tracked);
  }

  void remove(TrackedForward tracked) {
    waiting.remove(tracked);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int size() {
    return waiting.size();
  }

  /** Takes out, the most urgent first, those that a place is found for. */
  void serve(Predicate<TrackedForward> place) {
    Iterator<TrackedForward> inOrder = waiting.iterator();
    while (inOrder.hasNext()) {
      if (place.test(inOrder.next())) {
        inOrder.remove();
      }
    }
  }
}
