package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The queue of requests that are within their customer's quota but exceed this VM's allowance,
 * while the VM requests more allowance from the leader.
 *
 * <p>The wait avoids refusing callers that are within their quota: allowances are small, so that
 * little quota is lost with a VM that dies, and a customer's requests don't arrive evenly.
 */
final class QuotaWaitQueue {

  /** Minimum wait for the leader's answer: several round trips between regions. */
  private static final long MIN_WAIT_NS = 120_000_000L;

  /**
   * Fraction of the latency objective that a request waits: a new leader grants nothing for a
   * quarter of a second, and the rest is left for the upstream's response.
   */
  private static final double OBJECTIVE_FRACTION = 0.5;

  private static final long NS_PER_MS = 1_000_000L;

  private final Map<Long, ActiveRequest> waiting = new LinkedHashMap<>();
  private final Map<Long, Long> reportedIn = new HashMap<>();

  void add(ActiveRequest request) {
    waiting.put(request.number(), request);
  }

  void remove(long number) {
    waiting.remove(number);
    reportedIn.remove(number);
  }

  /** Records that a sync reports all requests that wait now. */
  void recordSync(long sequence) {
    waiting.keySet().forEach(number -> reportedIn.putIfAbsent(number, sequence));
  }

  /** Returns whether a request waited when a sync was sent. */
  boolean isCoveredBy(long sequence, ActiveRequest request) {
    return reportedIn.getOrDefault(request.number(), Long.MAX_VALUE) <= sequence;
  }

  /** Forgets in which syncs the requests that wait no longer were reported. */
  void dropAnswered() {
    reportedIn.keySet().retainAll(waiting.keySet());
  }

  int size() {
    return waiting.size();
  }

  /** Removes and returns all requests in order of arrival. */
  List<ActiveRequest> drain() {
    List<ActiveRequest> drained = new ArrayList<>(waiting.values());
    waiting.clear();
    return drained;
  }

  /** Removes and returns the requests whose wait has expired. */
  List<ActiveRequest> pollExpired(long nowNs) {
    List<ActiveRequest> expired = new ArrayList<>();
    waiting.values().stream().filter(request -> isExpired(request, nowNs)).forEach(expired::add);
    expired.forEach(request -> remove(request.number()));
    return expired;
  }

  /** Returns whether a request's wait has expired. */
  static boolean isExpired(ActiveRequest request, long nowNs) {
    return nowNs >= expiryNs(request);
  }

  /** Returns how long a request may still wait, in milliseconds. */
  static long remainingMs(ActiveRequest request, long nowNs) {
    return Math.max(0, (expiryNs(request) - nowNs) / NS_PER_MS);
  }

  private static long expiryNs(ActiveRequest request) {
    long objectiveNs = (long) (request.route().objectiveMs() * NS_PER_MS * OBJECTIVE_FRACTION);
    return request.arrivedNs() + Math.max(MIN_WAIT_NS, objectiveNs);
  }

  OptionalLong nextDueNs() {
    return waiting.values().stream().mapToLong(QuotaWaitQueue::expiryNs).min();
  }
}
