package org.teaseltrail.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import org.teaseltrail.core.entry.EntryStatus;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.runtime.metrics.Metrics;

/** Counts what the VM does. */
final class EntryMetrics implements AutoCloseable {

  private final Metrics metrics = new Metrics("teaseltrail-entry");

  /** Adds the gauges of what the VM holds. */
  void watch(Supplier<EntryStatus> status) {
    MeterRegistry registry = metrics.registry();
    registry.gauge("teaseltrail.entry.waiting.requests", status, s -> s.get().waitingRequests());
    registry.gauge("teaseltrail.entry.running.requests", status, s -> s.get().runningRequests());
    registry.gauge("teaseltrail.entry.configuration.revision", status, s -> s.get().revision());
    registry.gauge("teaseltrail.entry.leader.fencing", status, s -> s.get().fencing());
    registry.gauge("teaseltrail.entry.session.left.ms", status, s -> s.get().sessionLeftMs());
  }

  /** Counts a request's end. */
  void ended(Outcome outcome) {
    metrics
        .registry()
        .counter(
            "teaseltrail.entry.requests.ended",
            "outcome",
            CallerJson.name(outcome),
            "reason",
            reason(outcome))
        .increment();
  }

  private static String reason(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun.reason().problemName();
    }
    if (outcome instanceof Outcome.MayHaveRun failed) {
      return failed.reason().problemName();
    }
    return outcome instanceof Outcome.HeldByEarlier ? "key-held" : "none";
  }

  String scrape() {
    return metrics.scrape();
  }

  @Override
  public void close() {
    metrics.close();
  }
}
