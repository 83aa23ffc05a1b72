package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.Deque;
import org.teaseltrail.core.upstream.LoadReport;

/** Recent samples of the load, from which reports of the configured staleness are made. */
final class LoadHistory {

  private static final long NS_PER_MS = 1_000_000;
  private static final long SAMPLE_INTERVAL_NS = 100 * NS_PER_MS;

  private final long lagNs;
  private final Deque<Sample> samples = new ArrayDeque<>();
  private long nextSampleNs;

  LoadHistory(long lagMs, long startNs) {
    this.lagNs = lagMs * NS_PER_MS;
    this.nextSampleNs = startNs;
  }

  boolean isSampleDue(long nowNs) {
    return nowNs >= nextSampleNs;
  }

  /** Records the current load; its age is set when it is reported. */
  void sample(LoadReport fresh, long nowNs) {
    samples.add(new Sample(fresh, nowNs));
    nextSampleNs = nowNs + SAMPLE_INTERVAL_NS;
    while (samples.size() > 1 && secondOldestNs() <= nowNs - lagNs) {
      samples.remove();
    }
  }

  /** Returns the newest load whose age is at least the lag, or else the oldest sample. */
  LoadReport report(long nowNs) {
    Sample reported = samples.peek();
    for (Sample sample : samples) {
      if (sample.atNs() <= nowNs - lagNs) {
        reported = sample;
      }
    }
    LoadReport load = reported.load();
    return new LoadReport(
        load.runningRequests(),
        load.queuedRequests(),
        load.queuedPrefillTokens(),
        load.stepMs(),
        load.cacheUsedFraction(),
        (nowNs - reported.atNs()) / NS_PER_MS);
  }

  long nextWakeupNs() {
    return nextSampleNs;
  }

  void reset(long nowNs) {
    samples.clear();
    nextSampleNs = nowNs;
  }

  private long secondOldestNs() {
    var iterator = samples.iterator();
    iterator.next();
    return iterator.next().atNs();
  }

  private record Sample(LoadReport load, long atNs) {}
}
