package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;

/**
 * Simulated engine that signals backpressure in its answers and counts the requests that it
 * receives from informed VMs nevertheless.
 */
final class BackpressureEngine {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after an engine first reports a limit from which the limit must be obeyed. */
  private static final long LIMIT_EFFECTIVE_AFTER_NS = 3_000 * NS_PER_MS;

  /** Time after a VM received the limit from which its requests count. */
  private static final long KNOWN_AFTER_NS = 500 * NS_PER_MS;

  /**
   * Time after a VM learned that the engine is leaving in which requests of new callers may still
   * arrive.
   */
  private static final long DRAIN_NS = 2_000 * NS_PER_MS;

  /** Length of the sliding window in which requests are counted. */
  private static final long WINDOW_NS = 4_000 * NS_PER_MS;

  private static final double WINDOW_S = 4;
  private static final double LIMIT_FACTOR = 1.5;
  private static final int LIMIT_SLACK = 5;

  private final BatchEngine places;
  private final Map<Integer, Long> informedNs = new HashMap<>();
  private final List<Long> arrivalsNs = new ArrayList<>();
  private final List<Long> countedArrivalsNs = new ArrayList<>();
  private final Map<Integer, List<Long>> arrivalsOfVmNs = new HashMap<>();
  private final Map<Integer, List<Backoff>> backoffs = new HashMap<>();
  private RateLimit limit = RateLimit.UNLIMITED;
  private double previousExcess;
  private int backoffMs;
  private boolean leaving;
  private final Map<Integer, Long> informedOfLeavingNs = new HashMap<>();
  private int requestsAfterLeaving;
  private long limitReportedNs = Long.MAX_VALUE;

  /** Period in which the engine has asked a VM to send no requests. */
  private record Backoff(long fromNs, long untilNs) {}

  BackpressureEngine(int engineIndex) {
    places = new BatchEngine(engineIndex, 1, TestPlans.ENGINES);
  }

  BatchEngine places() {
    return places;
  }

  Registration registration() {
    return places.registration();
  }

  RateLimit limit() {
    return limit;
  }

  /** Reports a rate limit in all answers from now on, or none if it is unlimited. */
  void name(RateLimit newLimit) {
    previousExcess = excess();
    limit = newLimit;
    limitReportedNs = Long.MAX_VALUE;
    informedNs.clear();
    countedArrivalsNs.clear();
  }

  /** Records that a VM has received an answer. */
  void recordAnswer(int vm, long nowNs) {
    if (leaving) {
      informedOfLeavingNs.putIfAbsent(vm, nowNs);
    }
    if (limit.isLimited()) {
      limitReportedNs = Math.min(limitReportedNs, nowNs);
      informedNs.putIfAbsent(vm, nowNs);
    }
  }

  /**
   * Rejects all requests from now on, each with a backoff time, or accepts them again if it is 0.
   */
  void rejectAll(int newBackoffMs) {
    backoffMs = newBackoffMs;
  }

  int backoffMs() {
    return backoffMs;
  }

  /** Records that a request of a VM was rejected. */
  void recordRejection(int vm, long nowNs) {
    Backoff backoff = new Backoff(nowNs + KNOWN_AFTER_NS, nowNs + backoffMs * NS_PER_MS);
    backoffs.computeIfAbsent(vm, key -> new ArrayList<>()).add(backoff);
  }

  /** Returns the maximum number of requests that one VM sent during one backoff. */
  long maxRequestsInBackoff() {
    long max = 0;
    for (Map.Entry<Integer, List<Backoff>> ofVm : backoffs.entrySet()) {
      List<Long> arrivals = arrivalsOfVmNs.getOrDefault(ofVm.getKey(), List.of());
      for (Backoff backoff : ofVm.getValue()) {
        long count =
            arrivals.stream().filter(at -> at > backoff.fromNs() && at < backoff.untilNs()).count();
        max = Math.max(max, count);
      }
    }
    return max;
  }

  /** Announces in all answers from now on that it is about to leave. */
  void startLeaving() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns the number of requests whose callers arrived long after their VM learned that the
   * engine is leaving.
   */
  int requestsAfterLeaving() {
    return requestsAfterLeaving;
  }

  /** Treats a VM as uninformed again. */
  void forgetVm(int vm) {
    informedNs.remove(vm);
    informedOfLeavingNs.remove(vm);
    backoffs.remove(vm);
  }

  void recordArrival(int vm, long callerArrivedNs, long nowNs) {
    arrivalsNs.add(nowNs);
    arrivalsOfVmNs.computeIfAbsent(vm, key -> new ArrayList<>()).add(nowNs);
    long learnedNs = informedOfLeavingNs.getOrDefault(vm, Long.MAX_VALUE);
    requestsAfterLeaving += learnedNs < callerArrivedNs - DRAIN_NS ? 1 : 0;
    boolean isLimitEffective =
        limitReportedNs != Long.MAX_VALUE && nowNs - limitReportedNs >= LIMIT_EFFECTIVE_AFTER_NS;
    boolean isInformed = informedNs.containsKey(vm) && nowNs - informedNs.get(vm) >= KNOWN_AFTER_NS;
    if (isLimitEffective && isInformed) {
      countedArrivalsNs.add(nowNs);
    }
  }

  /** Returns the maximum number of requests in any window from VMs that knew the limit. */
  int maxInWindow() {
    return maxCountInWindow(countedArrivalsNs);
  }

  /**
   * Returns the maximum number of requests in any window within the last milliseconds, from all VMs
   * whether informed or not.
   */
  int maxOfAllVmsInWindow(long lengthMs, long nowNs) {
    return maxCountInWindow(
        arrivalsNs.stream().filter(atNs -> nowNs - atNs <= lengthMs * NS_PER_MS).toList());
  }

  private static int maxCountInWindow(List<Long> timesNs) {
    int max = 0;
    int from = 0;
    for (int to = 0; to < timesNs.size(); to++) {
      while (timesNs.get(to) - timesNs.get(from) > WINDOW_NS) {
        from++;
      }
      max = Math.max(max, to - from + 1);
    }
    return max;
  }

  /**
   * Returns by how many requests the allowed number was exceeded at most, over all limits that the
   * engine has reported; 0 or less if it was not.
   */
  double excess() {
    double now = limit.isLimited() ? maxInWindow() - allowedInWindow() : 0;
    return Math.max(previousExcess, now);
  }

  /** Returns the number of requests that are allowed in a window. */
  double allowedInWindow() {
    return LIMIT_FACTOR * limit.perSecond() * WINDOW_S + LIMIT_SLACK;
  }

  /** Returns the mean rate of requests over the last milliseconds, per second. */
  double perSecond(long lengthMs, long nowNs) {
    long count = arrivalsNs.stream().filter(atNs -> nowNs - atNs <= lengthMs * NS_PER_MS).count();
    return count * 1_000.0 / lengthMs;
  }
}
