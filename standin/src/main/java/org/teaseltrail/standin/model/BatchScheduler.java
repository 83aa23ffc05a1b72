package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseltrail.core.id.RequestId;

/** Schedules sequences into a batch of limited size, first come first served. */
final class BatchScheduler {

  private final HardwareProfile hardware;
  private final Deque<Sequence> queued = new ArrayDeque<>();
  private final List<Sequence> running = new ArrayList<>();

  BatchScheduler(HardwareProfile hardware) {
    this.hardware = hardware;
  }

  void add(Sequence sequence) {
    queued.add(sequence);
  }

  /** Moves the sequences that were queued first into the free slots of the batch. */
  void admitQueued(PrefixCache cache) {
    while (running.size() < hardware.maxBatch() && !queued.isEmpty()) {
      Sequence sequence = queued.remove();
      sequence.startRunning(cache.match(sequence.request().prefixBlocks()));
      running.add(sequence);
    }
    EngineInvariant.BATCH_WITHIN_LIMIT.check(running.size() <= hardware.maxBatch());
  }

  /**
   * Plans the next step. Each decoding sequence generates one token; the others share the prefill
   * chunk.
   */
  Step plan(long nowNs, double stragglerFactor) {
    List<StepPart> parts = new ArrayList<>(running.size());
    int chunkLeft = hardware.prefillChunkTokens();
    int decoding = 0;
    for (Sequence sequence : running) {
      int tokens = Math.min(sequence.remainingPrefillTokens(), chunkLeft);
      if (sequence.remainingPrefillTokens() == 0) {
        decoding++;
        parts.add(new StepPart(sequence, 0));
      } else if (tokens > 0) {
        chunkLeft -= tokens;
        parts.add(new StepPart(sequence, tokens));
      }
    }
    int prefillTokens = hardware.prefillChunkTokens() - chunkLeft;
    long durationNs = hardware.stepNs(decoding, prefillTokens, stragglerFactor);
    return new Step(parts, nowNs + durationNs, durationNs);
  }

  void remove(Sequence sequence) {
    if (!running.remove(sequence)) {
      queued.remove(sequence);
    }
  }

  Optional<Sequence> find(RequestId request) {
    return all().filter(sequence -> sequence.request().id().equals(request)).findFirst();
  }

  Stream<Sequence> all() {
    return Stream.concat(running.stream(), queued.stream());
  }

  boolean isEmpty() {
    return running.isEmpty() && queued.isEmpty();
  }

  boolean hasRunning() {
    return !running.isEmpty();
  }

  int runningCount() {
    return running.size();
  }

  int queuedCount() {
    return queued.size();
  }

  long remainingPrefillTokens() {
    return all().mapToLong(Sequence::remainingPrefillTokens).sum();
  }

  void clear() {
    running.clear();
    queued.clear();
  }
}
