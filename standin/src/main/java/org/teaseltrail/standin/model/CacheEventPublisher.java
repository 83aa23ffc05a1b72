package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.teaseltrail.core.upstream.CacheEvent;

/** Publishes changes of the prefix cache with a delay and drops some of the events. */
final class CacheEventPublisher {

  private static final long NS_PER_MS = 1_000_000;

  private final ReportingProfile reporting;
  private final SplittableRandom random;
  private final Deque<Delayed> delayed = new ArrayDeque<>();
  private long nextCollectNs;
  private long sequence;

  CacheEventPublisher(ReportingProfile reporting, long seed, long startNs) {
    this.reporting = reporting;
    this.random = new SplittableRandom(seed);
    this.nextCollectNs = startNs;
  }

  /** Collects the changes if the interval is over, and returns the events that are due. */
  List<CacheEvent> advance(UpstreamIdentity identity, PrefixCache cache, long nowNs) {
    if (cache.hasChanges() && nowNs >= nextCollectNs) {
      collect(identity, cache, nowNs);
    }
    List<CacheEvent> due = new ArrayList<>();
    while (!delayed.isEmpty() && delayed.peek().dueNs() <= nowNs) {
      due.add(delayed.remove().event());
    }
    return due;
  }

  OptionalLong nextWakeupNs(PrefixCache cache) {
    long collectNs = cache.hasChanges() ? nextCollectNs : Long.MAX_VALUE;
    long dueNs = delayed.isEmpty() ? Long.MAX_VALUE : delayed.peek().dueNs();
    long nextNs = Math.min(collectNs, dueNs);
    return nextNs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(nextNs);
  }

  void reset() {
    delayed.clear();
    sequence = 0;
  }

  private void collect(UpstreamIdentity identity, PrefixCache cache, long nowNs) {
    sequence++;
    CacheEvent event =
        new CacheEvent(
            identity.upstream(),
            identity.incarnation(),
            sequence,
            cache.drainStored(),
            cache.drainRemoved());
    boolean lost = random.nextDouble() < reporting.cacheEventGapRate();
    if (!lost) {
      delayed.add(new Delayed(event, nowNs + reporting.cacheEventLagMs() * NS_PER_MS));
    }
    nextCollectNs = nowNs + reporting.cacheEventIntervalMs() * NS_PER_MS;
  }

  private record Delayed(CacheEvent event, long dueNs) {}
}
