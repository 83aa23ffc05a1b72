package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.backpressure.RateLimit;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;

/**
 * Is an engine that may ask in its answers for less work, and that counts what it gets all the same
 * from VMs which know.
 */
final class AskingEngine {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after its first naming from which on a limit binds. */
  private static final long CONTACT_NS = 3_000 * NS_PER_MS;

  /** Time after a VM was told from which on its requests count. */
  private static final long KNOWN_AFTER_NS = 500 * NS_PER_MS;

  /** Time after a VM was told of a leaving in which callers may still come. */
  private static final long DRAIN_NS = 2_000 * NS_PER_MS;

  /** Any span of this length counts. */
  private static final long WINDOW_NS = 4_000 * NS_PER_MS;

  private static final double WINDOW_S = 4;
  private static final double LIMIT_TIMES = 1.5;
  private static final int LIMIT_SLACK = 5;

  private final BatchEngine places;
  private final Map<Integer, Long> toldNs = new HashMap<>();
  private final List<Long> arrivalsNs = new ArrayList<>();
  private final List<Long> countedNs = new ArrayList<>();
  private final Map<Integer, List<Long>> arrivalsOfVmNs = new HashMap<>();
  private final Map<Integer, List<Backoff>> backoffs = new HashMap<>();
  private RateLimit limit = RateLimit.UNLIMITED;
  private double excessBefore;
  private int backoffMs;
  private boolean leaving;
  private final Map<Integer, Long> toldLeavingNs = new HashMap<>();
  private int takenAfterLeaving;
  private long namedNs = Long.MAX_VALUE;

  /** Is a time for which the engine has asked a VM to send nothing. */
  private record Backoff(long fromNs, long untilNs) {}

  AskingEngine(int site) {
    places = new BatchEngine(site, 1, TestPlans.ENGINES);
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

  /** Names a limit in all answers from now on, or none any longer. */
  void name(RateLimit named) {
    excessBefore = excess();
    limit = named;
    namedNs = Long.MAX_VALUE;
    toldNs.clear();
    countedNs.clear();
  }

  /** Notes that a VM has got an answer. */
  void told(int vm, long nowNs) {
    if (leaving) {
      toldLeavingNs.putIfAbsent(vm, nowNs);
    }
    if (limit.isLimited()) {
      namedNs = Math.min(namedNs, nowNs);
      toldNs.putIfAbsent(vm, nowNs);
    }
  }

  /** Turns all requests away from now on and asks each time for a backoff, or for none if 0. */
  void turnAway(int askedBackoffMs) {
    backoffMs = askedBackoffMs;
  }

  int backoffMs() {
    return backoffMs;
  }

  /** Notes that it has turned a VM away. */
  void turnedAway(int vm, long nowNs) {
    Backoff backoff = new Backoff(nowNs + KNOWN_AFTER_NS, nowNs + backoffMs * NS_PER_MS);
    backoffs.computeIfAbsent(vm, key -> new ArrayList<>()).add(backoff);
  }

  /** Returns the most requests that it got from one VM in one backoff. */
  long mostInBackoff() {
    long most = 0;
    for (Map.Entry<Integer, List<Backoff>> ofVm : backoffs.entrySet()) {
      List<Long> arrivals = arrivalsOfVmNs.getOrDefault(ofVm.getKey(), List.of());
      for (Backoff backoff : ofVm.getValue()) {
        long count =
            arrivals.stream().filter(at -> at > backoff.fromNs() && at < backoff.untilNs()).count();
        most = Math.max(most, count);
      }
    }
    return most;
  }

  /** Says from now on in all answers that it is about to leave. */
  void leave() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Returns requests of callers who came long after their VM had been told of the leaving. */
  int takenAfterLeaving() {
    return takenAfterLeaving;
  }

  /** Takes a VM as one that knows nothing. */
  void excuse(int vm) {
    toldNs.remove(vm);
    toldLeavingNs.remove(vm);
    backoffs.remove(vm);
  }

  void arrived(int vm, long calledNs, long nowNs) {
    arrivalsNs.add(nowNs);
    arrivalsOfVmNs.computeIfAbsent(vm, key -> new ArrayList<>()).add(nowNs);
    long leftNs = toldLeavingNs.getOrDefault(vm, Long.MAX_VALUE);
    takenAfterLeaving += leftNs < calledNs - DRAIN_NS ? 1 : 0;
    boolean binds = namedNs != Long.MAX_VALUE && nowNs - namedNs >= CONTACT_NS;
    boolean knows = toldNs.containsKey(vm) && nowNs - toldNs.get(vm) >= KNOWN_AFTER_NS;
    if (binds && knows) {
      countedNs.add(nowNs);
    }
  }

  /** Returns the most requests that it got in any span from VMs that knew of its limit. */
  int mostInWindow() {
    return most(countedNs);
  }

  /** Returns the same for the last seconds and for all VMs, whether they knew or not. */
  int mostOfAllInWindow(long lengthMs, long nowNs) {
    return most(arrivalsNs.stream().filter(atNs -> nowNs - atNs <= lengthMs * NS_PER_MS).toList());
  }

  private static int most(List<Long> timesNs) {
    int most = 0;
    int from = 0;
    for (int to = 0; to < timesNs.size(); to++) {
      while (timesNs.get(to) - timesNs.get(from) > WINDOW_NS) {
        from++;
      }
      most = Math.max(most, to - from + 1);
    }
    return most;
  }

  /** Returns by how many it got more than may be, over all limits that it has named; 0 or less. */
  double excess() {
    double now = limit.isLimited() ? mostInWindow() - allowedInWindow() : 0;
    return Math.max(excessBefore, now);
  }

  /** Returns how many that may be. */
  double allowedInWindow() {
    return LIMIT_TIMES * limit.perSecond() * WINDOW_S + LIMIT_SLACK;
  }

  /** Returns what it got in the time before now, a second. */
  double perSecond(long lengthMs, long nowNs) {
    long count = arrivalsNs.stream().filter(atNs -> nowNs - atNs <= lengthMs * NS_PER_MS).count();
    return count * 1_000.0 / lengthMs;
  }
}
