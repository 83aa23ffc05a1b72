package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.Urgency;

/**
 * Holds requests that wait for a place at a service's upstreams, by {@link Urgency}, then as they
 * came.
 */
final class RequestQueue {

  private static final long NS_PER_MS = 1_000_000L;
  private static final long NS_PER_S = 1_000_000_000L;

  /** Time over which the pace of the line is measured; longer than a burst's first moment. */
  private static final long PACE_WINDOW_NS = 2 * NS_PER_S;

  private static final Comparator<ActiveRequest> ORDER =
      Comparator.comparing(ActiveRequest::urgency).thenComparingLong(ActiveRequest::number);

  private final TreeSet<ActiveRequest> waiting = new TreeSet<>(ORDER);
  private final Deque<Long> servedNs = new ArrayDeque<>();

  void add(ActiveRequest tracked) {
    waiting.add(tracked);
  }

  void remove(ActiveRequest tracked) {
    waiting.remove(tracked);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int size() {
    return waiting.size();
  }

  /** Returns what waits, the most urgent first. */
  List<ActiveRequest> all() {
    return List.copyOf(waiting);
  }

  /** Returns the urgency of the request that goes first, if any waits. */
  Optional<Urgency> mostUrgent() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first().urgency());
  }

  /** Takes out, the most urgent first, those that a place is found for. */
  void dispatchReady(Predicate<ActiveRequest> place, long nowNs) {
    demoteLate(nowNs);
    Iterator<ActiveRequest> inOrder = waiting.iterator();
    while (inOrder.hasNext()) {
      ActiveRequest request = inOrder.next();
      if (place.test(request)) {
        inOrder.remove();
        served(nowNs);
      }
    }
  }

  /**
   * Takes out the first request of an urgency for which a place is found, or else the first of all.
   *
   * @return whether there is one
   */
  boolean dispatchOne(Urgency meantFor, Predicate<ActiveRequest> place, long nowNs) {
    demoteLate(nowNs);
    Stream<ActiveRequest> meant =
        waiting.stream().filter(tracked -> tracked.urgency().equals(meantFor));
    Optional<ActiveRequest> served =
        Stream.concat(meant, waiting.stream()).filter(place).findFirst();
    served.ifPresent(waiting::remove);
    served.ifPresent(request -> served(nowNs));
    return served.isPresent();
  }

  /** Tells what waits by urgency, the most urgent first. */
  List<QueueState.WaitTimes> waitTimesByUrgency(long nowNs) {
    TreeMap<Urgency, List<Long>> waits = new TreeMap<>();
    for (ActiveRequest tracked : waiting) {
      long waitedMs = (nowNs - tracked.arrivedNs()) / NS_PER_MS;
      waits.computeIfAbsent(tracked.urgency(), key -> new ArrayList<>()).add(waitedMs);
    }
    return waits.entrySet().stream()
        .map(entry -> new QueueState.WaitTimes(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Notes that a request found a place. */
  void served(long nowNs) {
    servedNs.addLast(nowNs);
    forget(nowNs);
  }

  /** Returns how many requests find a place in a second. */
  double dispatchesPerSecond(long nowNs) {
    forget(nowNs);
    return servedNs.size() * (double) NS_PER_S / PACE_WINDOW_NS;
  }

  /** Returns the request to be given up first: the least urgent, the newest among its equals. */
  Optional<ActiveRequest> leastUrgent() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.last());
  }

  /** Puts those that can no longer be answered on time behind the others. */
  void demoteLate(long nowNs) {
    List<ActiveRequest> turned = new ArrayList<>();
    waiting.stream().filter(tracked -> tracked.isBecomingLate(nowNs)).forEach(turned::add);
    waiting.removeAll(turned);
    turned.forEach(ActiveRequest::markLate);
    waiting.addAll(turned);
  }

  private void forget(long nowNs) {
    while (!servedNs.isEmpty() && nowNs - servedNs.peekFirst() > PACE_WINDOW_NS) {
      servedNs.removeFirst();
    }
  }
}
