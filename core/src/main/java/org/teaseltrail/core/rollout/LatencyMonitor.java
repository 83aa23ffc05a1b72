package org.teaseltrail.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Tells slow answers from others, by one kind of time.
 *
 * <p>Long prompts take longer, so a time is taken in relation to the usual one of its route and
 * size at the versions before. Upstreams of one version differ in speed too, so it is slow if it is
 * far beyond the quicker ones of the same upstream: a few of its answers at a time, as many for
 * both versions, so that chance shows alike in both. A version all of whose answers are slow shows
 * by its upstreams' own levels, each of which counts once.
 */
final class LatencyMonitor {

  /** Answers of an upstream that are looked at together. */
  private static final int BLOCK = 6;

  /** Which of them, from the quickest, stands for the upstream's own speed. */
  private static final int LEVEL_AT = 1;

  /** Buckets above that speed from which on an answer is slow: two and a half times as long. */
  private static final int SLOW_BUCKETS = 4;

  /**
   * Buckets above the slow ones of the upstreams before at which most upstreams of a version show
   * that all of its answers are slow: twice as long.
   */
  private static final int SLOW_LEVEL_BUCKETS = 3;

  /** Part of the upstreams before that are quicker than the slow ones. */
  private static final double SLOW_UPSTREAMS_FROM = 0.9;

  /** Upstreams whose levels tell something of their version. */
  private static final int LEAST_LEVELS = 4;

  /** Times of a route and size without which nothing is called slow. */
  private static final int LEAST_USUAL = 5;

  /** Newest times of a route and size that make the usual one. */
  private static final int MOST_USUAL = 41;

  private record Kind(RouteId route, int size) {}

  private record Timed(RouteId route, int buckets) {}

  private final Symptom symptom;
  private final SymptomMonitor watch;
  private final Map<Kind, Deque<Integer>> usual = new HashMap<>();
  private final Map<UpstreamId, List<Timed>> blocks = new HashMap<>();
  private final Map<UpstreamId, Integer> levelsOrdered = new HashMap<>();
  private final Map<UpstreamId, Integer> levelsBefore = new HashMap<>();

  LatencyMonitor(Symptom symptom) {
    this.symptom = symptom;
    watch = new SymptomMonitor(symptom);
  }

  void observe(Observation seen) {
    Deque<Integer> known =
        usual.computeIfAbsent(new Kind(seen.route(), seen.size()), key -> new ArrayDeque<>());
    if (known.size() >= LEAST_USUAL) {
      int above = seen.value() - middle(known);
      List<Timed> block = blocks.computeIfAbsent(seen.upstream(), key -> new ArrayList<>());
      block.add(new Timed(seen.route(), above));
      if (block.size() == BLOCK) {
        weighBlock(seen.upstream(), seen.ordered(), block);
        block.clear();
      }
    }
    if (!seen.ordered()) {
      known.addLast(seen.value());
      if (known.size() > MOST_USUAL) {
        known.removeFirst();
      }
    }
  }

  Optional<Verdict> evaluate() {
    return watch.evaluate().or(this::weighLevels);
  }

  boolean isSuspicious() {
    return watch.isSuspicious();
  }

  private void weighBlock(UpstreamId upstream, boolean ordered, List<Timed> block) {
    block.sort(Comparator.comparingInt(Timed::buckets));
    int level = block.get(LEVEL_AT).buckets();
    (ordered ? levelsOrdered : levelsBefore).put(upstream, level);
    for (Timed timed : block.subList(LEVEL_AT + 1, BLOCK)) {
      boolean slow = timed.buckets() - level >= SLOW_BUCKETS;
      watch.observe(timed.route(), upstream, ordered, AnswerCounts.one(slow));
    }
  }

  private Optional<Verdict> weighLevels() {
    boolean known = levelsOrdered.size() >= LEAST_LEVELS && levelsBefore.size() >= LEAST_LEVELS;
    if (!known) {
      return Optional.empty();
    }
    int slowBefore = at(SLOW_UPSTREAMS_FROM, levelsBefore.values());
    if (middle(levelsOrdered.values()) < slowBefore + SLOW_LEVEL_BUCKETS) {
      return Optional.empty();
    }
    AnswerCounts ordered = new AnswerCounts(levelsOrdered.size(), levelsOrdered.size());
    AnswerCounts before = new AnswerCounts(levelsBefore.size(), 0);
    return Optional.of(new Verdict(symptom.reason(), Optional.empty(), ordered, before));
  }

  private static int middle(Collection<Integer> values) {
    return at(0.5, values);
  }

  /** Returns the value that a part of the others lie below. */
  private static int at(double part, Collection<Integer> values) {
    List<Integer> sorted = new ArrayList<>(values);
    sorted.sort(null);
    return sorted.get((int) (part * sorted.size()));
  }
}
