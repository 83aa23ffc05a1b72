package org.teaseltrail.entry;

import io.micrometer.core.instrument.Gauge;
import java.util.function.Supplier;
import org.teaseltrail.core.entry.EntryStatus;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.runtime.metrics.Metrics;

/** The metrics of an entry VM. */
final class EntryMetrics implements AutoCloseable {

  private final Metrics metrics = new Metrics("teaseltrail-entry");

  /** Registers the gauges of the node's status and the upstream calls. */
  void registerGauges(Supplier<EntryStatus> status, Supplier<Number> upstreamCalls) {
    gauge("teaseltrail.entry.upstream.calls", upstreamCalls);
    gauge("teaseltrail.entry.waiting.requests", () -> status.get().waitingRequests());
    gauge("teaseltrail.entry.running.requests", () -> status.get().runningRequests());
    gauge("teaseltrail.entry.configuration.revision", () -> status.get().revision());
    gauge("teaseltrail.entry.leader.fencing", () -> status.get().fencing());
    gauge("teaseltrail.entry.session.left.ms", () -> status.get().sessionLeftMs());
  }

  // A gauge built from a supplier holds a strong reference to it. A gauge built with a separate
  // state object holds that object only weakly and reads NaN after it has been garbage-collected.
  private void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(metrics.registry());
  }

  /** Counts a finished request by its outcome. */
  void countOutcome(Outcome outcome) {
    metrics
        .registry()
        .counter(
            "teaseltrail.entry.requests.ended",
            "outcome",
            ResponseSerializer.name(outcome),
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
