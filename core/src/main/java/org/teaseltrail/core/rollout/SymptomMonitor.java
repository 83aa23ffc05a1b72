package org.teaseltrail.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Compares how often the target version and the previous versions show one symptom, for each route
 * and for all routes together.
 *
 * <p>Routes are evaluated separately because a version that is faulty on one route only would be
 * hidden by the good answers on the others. The share that previous versions show in the same
 * seconds is tolerated because a wave of crashes or a load burst affects all versions and must not
 * be attributed to the target version.
 */
final class SymptomMonitor {

  /** Number of recent intervals whose answers of previous versions are compared. */
  private static final int COMPARED_INTERVALS = 6;

  /** Factor by which the previous versions' share of bad answers may be exceeded. */
  private static final double TOLERATED_FACTOR = 1.5;

  /** Maximum tolerated share; above it no difference could be detected. */
  private static final double MAX_TOLERATED_SHARE = 0.6;

  /**
   * Minimum number of upstreams that must show a symptom for it to be attributed to the version and
   * not to a single upstream.
   */
  private static final int MIN_UPSTREAMS = 2;

  /**
   * Number of intervals with a detected change after which the symptom is attributed to the version
   * although only one upstream was observed. By then the canary traffic would have reached another
   * upstream if there were one.
   */
  private static final int SINGLE_UPSTREAM_INTERVALS = 6;

  /** Answers of one interval by route, separately for the target and the previous versions. */
  private static final class Interval {
    private final Map<RouteId, AnswerCounts> ordered = new HashMap<>();
    private final Map<RouteId, AnswerCounts> before = new HashMap<>();
  }

  private final Symptom symptom;
  private final Deque<Interval> intervals = new ArrayDeque<>();
  private final Map<RouteId, AnswerCounts> lastBefore = new HashMap<>();
  private final Map<Optional<RouteId>, ChangeDetector> detectors = new HashMap<>();
  private final Set<UpstreamId> observedUpstreams = new HashSet<>();
  private final Set<UpstreamId> badUpstreams = new HashSet<>();
  private Interval current = new Interval();
  private int detectedIntervals;

  SymptomMonitor(Symptom symptom) {
    this.symptom = symptom;
  }

  /** Records answers with the information whether they show the symptom. */
  void observe(RouteId route, UpstreamId upstream, boolean ordered, AnswerCounts counts) {
    (ordered ? current.ordered : current.before).merge(route, counts, AnswerCounts::plus);
    if (ordered) {
      observedUpstreams.add(upstream);
      if (counts.bad() > 0) {
        badUpstreams.add(upstream);
      }
    }
  }

  /** Evaluates the answers recorded since the last evaluation. */
  Optional<Verdict> evaluate() {
    intervals.addLast(current);
    if (intervals.size() > COMPARED_INTERVALS) {
      intervals.removeFirst();
    }
    Optional<Verdict> found = Optional.empty();
    AnswerCounts ordered = AnswerCounts.NONE;
    AnswerCounts before = AnswerCounts.NONE;
    for (Map.Entry<RouteId, AnswerCounts> entry : current.ordered.entrySet()) {
      AnswerCounts compared = countPrevious(entry.getKey());
      found = found.or(() -> detect(Optional.of(entry.getKey()), entry.getValue(), compared));
      ordered = ordered.plus(entry.getValue());
      before = before.plus(compared);
    }
    AnswerCounts allOrdered = ordered;
    AnswerCounts allBefore = before;
    found = found.or(() -> detect(Optional.empty(), allOrdered, allBefore));
    current = new Interval();
    return found.filter(verdict -> isCausedByVersion());
  }

  /** Returns whether the evidence is strong enough that not all traffic should be shifted yet. */
  boolean isSuspicious() {
    return detectors.values().stream().anyMatch(ChangeDetector::isSuspicious);
  }

  private Optional<Verdict> detect(
      Optional<RouteId> route, AnswerCounts ordered, AnswerCounts before) {
    ChangeDetector detector = detectors.computeIfAbsent(route, key -> new ChangeDetector());
    double tolerated = TOLERATED_FACTOR * before.share() + symptom.toleratedShare();
    detector.update(ordered, Math.min(MAX_TOLERATED_SHARE, tolerated));
    return detector.hasDetectedChange()
        ? Optional.of(new Verdict(symptom.reason(), route, ordered, before))
        : Optional.empty();
  }

  /**
   * Returns the recent counts of the previous versions on a route, or the last known counts once
   * these versions no longer receive requests.
   */
  private AnswerCounts countPrevious(RouteId route) {
    AnswerCounts sum = AnswerCounts.NONE;
    for (Interval interval : intervals) {
      sum = sum.plus(interval.before.getOrDefault(route, AnswerCounts.NONE));
    }
    if (sum.answers() > 0) {
      lastBefore.put(route, sum);
    }
    return lastBefore.getOrDefault(route, AnswerCounts.NONE);
  }

  private boolean isCausedByVersion() {
    detectedIntervals++;
    boolean singleUpstream =
        observedUpstreams.size() < MIN_UPSTREAMS && detectedIntervals >= SINGLE_UPSTREAM_INTERVALS;
    return singleUpstream || badUpstreams.size() >= MIN_UPSTREAMS;
  }
}
