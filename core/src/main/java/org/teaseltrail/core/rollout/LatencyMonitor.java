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
 * Monitors one kind of latency and detects a target version that is slow.
 *
 * <p>Latency grows with the length of the prompt. It is therefore compared with the median latency
 * that the previous versions show on the same route for the same size class. Upstreams of one
 * version differ in speed, too. An answer is therefore slow if it takes much longer than the fast
 * ones of the same upstream, in blocks of a few answers. The block size is the same for both
 * versions, so that random variation affects both equally. A version whose answers are all slow is
 * detected by the baselines of its upstreams, each of which counts once.
 */
final class LatencyMonitor {

  /** Number of answers of an upstream that are evaluated together. */
  private static final int BLOCK_SIZE = 6;

  /** Index of the baseline of the upstream among the sorted answers of a block. */
  private static final int BASELINE_INDEX = 1;

  /** Buckets above the baseline from which an answer is slow: two and a half times as long. */
  private static final int SLOW_ANSWER_BUCKETS = 4;

  /**
   * Buckets by which the median baseline of the target version must exceed those of the slow
   * upstreams of previous versions for all its answers to be considered slow: twice as long.
   */
  private static final int SLOW_BASELINE_BUCKETS = 3;

  /** Quantile of the previous versions' baselines above which an upstream is considered slow. */
  private static final double SLOW_UPSTREAM_QUANTILE = 0.9;

  /** Minimum number of upstreams with a baseline for a comparison of the versions. */
  private static final int MIN_BASELINES = 4;

  /** Minimum number of reference latencies of a route and size class. */
  private static final int MIN_REFERENCE = 5;

  /** Maximum number of reference latencies of a route and size class; the oldest is dropped. */
  private static final int MAX_REFERENCE = 41;

  private record ReferenceKey(RouteId route, int size) {}

  private record RelativeLatency(RouteId route, int buckets) {}

  private final Symptom symptom;
  private final SymptomMonitor monitor;
  private final Map<ReferenceKey, Deque<Integer>> references = new HashMap<>();
  private final Map<UpstreamId, List<RelativeLatency>> blocks = new HashMap<>();
  private final Map<UpstreamId, Integer> targetBaselines = new HashMap<>();
  private final Map<UpstreamId, Integer> previousBaselines = new HashMap<>();

  LatencyMonitor(Symptom symptom) {
    this.symptom = symptom;
    monitor = new SymptomMonitor(symptom);
  }

  void observe(Observation observation) {
    Deque<Integer> reference =
        references.computeIfAbsent(
            new ReferenceKey(observation.route(), observation.size()), key -> new ArrayDeque<>());
    if (reference.size() >= MIN_REFERENCE) {
      int relative = observation.value() - median(reference);
      List<RelativeLatency> block =
          blocks.computeIfAbsent(observation.upstream(), key -> new ArrayList<>());
      block.add(new RelativeLatency(observation.route(), relative));
      if (block.size() == BLOCK_SIZE) {
        evaluateBlock(observation.upstream(), observation.ordered(), block);
        block.clear();
      }
    }
    if (!observation.ordered()) {
      reference.addLast(observation.value());
      if (reference.size() > MAX_REFERENCE) {
        reference.removeFirst();
      }
    }
  }

  Optional<Verdict> evaluate() {
    return monitor.evaluate().or(this::compareBaselines);
  }

  boolean isSuspicious() {
    return monitor.isSuspicious();
  }

  private void evaluateBlock(UpstreamId upstream, boolean ordered, List<RelativeLatency> block) {
    block.sort(Comparator.comparingInt(RelativeLatency::buckets));
    int baseline = block.get(BASELINE_INDEX).buckets();
    (ordered ? targetBaselines : previousBaselines).put(upstream, baseline);
    for (RelativeLatency latency : block.subList(BASELINE_INDEX + 1, BLOCK_SIZE)) {
      boolean slow = latency.buckets() - baseline >= SLOW_ANSWER_BUCKETS;
      monitor.observe(latency.route(), upstream, ordered, AnswerCounts.one(slow));
    }
  }

  private Optional<Verdict> compareBaselines() {
    boolean comparable =
        targetBaselines.size() >= MIN_BASELINES && previousBaselines.size() >= MIN_BASELINES;
    if (!comparable) {
      return Optional.empty();
    }
    int slowPrevious = quantile(SLOW_UPSTREAM_QUANTILE, previousBaselines.values());
    if (median(targetBaselines.values()) < slowPrevious + SLOW_BASELINE_BUCKETS) {
      return Optional.empty();
    }
    AnswerCounts ordered = new AnswerCounts(targetBaselines.size(), targetBaselines.size());
    AnswerCounts before = new AnswerCounts(previousBaselines.size(), 0);
    return Optional.of(new Verdict(symptom.reason(), Optional.empty(), ordered, before));
  }

  private static int median(Collection<Integer> values) {
    return quantile(0.5, values);
  }

  private static int quantile(double fraction, Collection<Integer> values) {
    List<Integer> sorted = new ArrayList<>(values);
    sorted.sort(null);
    return sorted.get((int) (fraction * sorted.size()));
  }
}
