package org.teaseltrail.standin.model;

import java.util.ArrayDeque;
import java.util.Deque;
import org.teaseltrail.core.upstream.LoadReport;

/** Keeps samples of the load, so that reports can be as stale as the profile says. */
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

  /** Takes the load as it is now; its age is filled in when it is reported. */
  void sample(LoadReport fresh, long nowNs) {
    samples.add(new Sample(fresh, nowNs));
    nextSampleNs = nowNs + SAMPLE_INTERVAL_NS;
    while (samples.size() > 1 && secondOldestNs() <= nowNs - lagNs) {
      samples.remove();
    }
  }

  /** Returns the newest load that is at least as old as the lag, or the oldest there is. */
  LoadReport report(long nowNs) {
    Sample best = samples.peek();
    for (Sample sample : samples) {
      if (sample.atNs() <= nowNs - lagNs) {
        best = sample;
      }
    }
    LoadReport load = best.load();
    return new LoadReport(
        load.runningRequests(),
        load.queuedRequests(),
        load.queuedPrefillTokens(),
        load.stepMs(),
        load.cacheUsedFraction(),
        (nowNs - best.atNs()) / NS_PER_MS);
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
