package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Holds requests that are within their customer's quota while this VM asks the leader to be allowed
 * more of it.
 *
 * <p>Guards against refusing callers that are within their quota: allowances are small, so that
 * little is set aside for a VM that dies, and a customer's requests don't come evenly.
 */
final class QuotaWaitQueue {

  /**
   * Least time that the leader's answer is waited for: some round trips between the users' regions.
   */
  private static final long LEAST_PATIENCE_NS = 120_000_000L;

  /**
   * Part of the objective that it is waited for: a new leader allows nothing for a quarter of a
   * second, and the rest is for the upstream's answer.
   */
  private static final double OBJECTIVE_PART = 0.5;

  private static final long NS_PER_MS = 1_000_000L;

  private final Map<Long, ActiveRequest> waiting = new LinkedHashMap<>();

  void add(ActiveRequest request) {
    waiting.put(request.number(), request);
  }

  void remove(long number) {
    waiting.remove(number);
  }

  int size() {
    return waiting.size();
  }

  /** Takes all out, as they came. */
  List<ActiveRequest> drain() {
    List<ActiveRequest> taken = new ArrayList<>(waiting.values());
    waiting.clear();
    return taken;
  }

  /** Takes those out that have waited long enough. */
  List<ActiveRequest> pollExpired(long nowNs) {
    List<ActiveRequest> overdue = new ArrayList<>();
    waiting.values().stream().filter(request -> isExpired(request, nowNs)).forEach(overdue::add);
    overdue.forEach(request -> waiting.remove(request.number()));
    return overdue;
  }

  /** Tells whether a request has waited long enough. */
  static boolean isExpired(ActiveRequest request, long nowNs) {
    return nowNs >= overdueNs(request);
  }

  private static long overdueNs(ActiveRequest request) {
    long objectiveNs = (long) (request.route().objectiveMs() * NS_PER_MS * OBJECTIVE_PART);
    return request.arrivedNs() + Math.max(LEAST_PATIENCE_NS, objectiveNs);
  }

  OptionalLong nextDueNs() {
    return waiting.values().stream().mapToLong(QuotaWaitQueue::overdueNs).min();
  }
}
