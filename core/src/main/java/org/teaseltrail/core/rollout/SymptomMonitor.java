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
 * Compares how often both versions show one symptom, for each route and for all together.
 *
 * <p>Guards against two mistakes: a version that is bad on one route only drowns in the good
 * answers of the others; and a wave of crashes or a burst, which hits both, looks like a bad
 * version, so what the versions before show in the same seconds is tolerated.
 */
final class SymptomMonitor {

  /** Slices of time in which the versions before are looked at. */
  private static final int COMPARED_SLICES = 6;

  /** How many times the versions before's share of bad answers is tolerated. */
  private static final double TOLERATED_TIMES = 1.5;

  /** Tolerated share beyond which nothing could be told any longer. */
  private static final double MOST_TOLERATED = 0.6;

  /** Upstreams that must show a symptom for it to be the version's, and not that of one of them. */
  private static final int LEAST_UPSTREAMS = 2;

  /**
   * Slices after which a symptom counts though one upstream was looked at only: by then the canary
   * would have gone on to another if there was one.
   */
  private static final int ALONE_SLICES = 6;

  /** Is what came within a slice of time, by route; both versions' apart. */
  private static final class Slice {
    private final Map<RouteId, AnswerCounts> ordered = new HashMap<>();
    private final Map<RouteId, AnswerCounts> before = new HashMap<>();
  }

  private final Symptom symptom;
  private final Deque<Slice> slices = new ArrayDeque<>();
  private final Map<RouteId, AnswerCounts> lastBefore = new HashMap<>();
  private final Map<Optional<RouteId>, ChangeDetector> meters = new HashMap<>();
  private final Set<UpstreamId> seenAt = new HashSet<>();
  private final Set<UpstreamId> badAt = new HashSet<>();
  private Slice newest = new Slice();
  private int alarmedSlices;

  SymptomMonitor(Symptom symptom) {
    this.symptom = symptom;
  }

  /** Takes answers in that tell whether they show the symptom. */
  void observe(RouteId route, UpstreamId upstream, boolean ordered, AnswerCounts trials) {
    (ordered ? newest.ordered : newest.before).merge(route, trials, AnswerCounts::plus);
    if (ordered) {
      seenAt.add(upstream);
      if (trials.bad() > 0) {
        badAt.add(upstream);
      }
    }
  }

  /** Weighs what has come since the last time. */
  Optional<Verdict> evaluate() {
    slices.addLast(newest);
    if (slices.size() > COMPARED_SLICES) {
      slices.removeFirst();
    }
    Optional<Verdict> found = Optional.empty();
    AnswerCounts ordered = AnswerCounts.NONE;
    AnswerCounts before = AnswerCounts.NONE;
    for (Map.Entry<RouteId, AnswerCounts> entry : newest.ordered.entrySet()) {
      AnswerCounts compared = before(entry.getKey());
      found = found.or(() -> weighed(Optional.of(entry.getKey()), entry.getValue(), compared));
      ordered = ordered.plus(entry.getValue());
      before = before.plus(compared);
    }
    AnswerCounts allOrdered = ordered;
    AnswerCounts allBefore = before;
    found = found.or(() -> weighed(Optional.empty(), allOrdered, allBefore));
    newest = new Slice();
    return found.filter(verdict -> isOfVersion());
  }

  /** Tells whether so much speaks against the version that it shouldn't get all requests yet. */
  boolean isSuspicious() {
    return meters.values().stream().anyMatch(ChangeDetector::isSuspicious);
  }

  private Optional<Verdict> weighed(
      Optional<RouteId> route, AnswerCounts ordered, AnswerCounts before) {
    ChangeDetector meter = meters.computeIfAbsent(route, key -> new ChangeDetector());
    double tolerated = TOLERATED_TIMES * before.share() + symptom.toleratedShare();
    meter.update(ordered, Math.min(MOST_TOLERATED, tolerated));
    return meter.hasDetectedChange()
        ? Optional.of(new Verdict(symptom.reason(), route, ordered, before))
        : Optional.empty();
  }

  /**
   * Returns what the versions before showed lately; once they get no requests any longer, what they
   * showed last.
   */
  private AnswerCounts before(RouteId route) {
    AnswerCounts sum = AnswerCounts.NONE;
    for (Slice slice : slices) {
      sum = sum.plus(slice.before.getOrDefault(route, AnswerCounts.NONE));
    }
    if (sum.answers() > 0) {
      lastBefore.put(route, sum);
    }
    return lastBefore.getOrDefault(route, AnswerCounts.NONE);
  }

  private boolean isOfVersion() {
    alarmedSlices++;
    boolean alone = seenAt.size() < LEAST_UPSTREAMS && alarmedSlices >= ALONE_SLICES;
    return alone || badAt.size() >= LEAST_UPSTREAMS;
  }
}
