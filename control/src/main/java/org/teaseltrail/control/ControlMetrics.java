package org.teaseltrail.control;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrail.core.decision.DecisionKind;
import org.teaseltrail.core.registry.HeartbeatFailure;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.runtime.metrics.Metrics;

/** Metrics of a control member. */
final class ControlMetrics implements AutoCloseable {

  private final Metrics metrics = new Metrics("teaseltrail-control");
  private final Map<DecisionKind, Counter> decisions = new EnumMap<>(DecisionKind.class);
  private final Map<HeartbeatFailure, Counter> heartbeatsRefused =
      new EnumMap<>(HeartbeatFailure.class);
  private final Map<RolloutPhase, Counter> rollouts = new EnumMap<>(RolloutPhase.class);
  private final AtomicLong leading = new AtomicLong();
  private final AtomicLong term = new AtomicLong();
  private final AtomicLong setQuarantinedRequests = new AtomicLong();
  private final AtomicLong repairDurationMs = new AtomicLong();

  ControlMetrics(EntryVmConnections<?, ?> entryVms, ControlEventLoop loop) {
    MeterRegistry registry = metrics.registry();
    for (DecisionKind kind : DecisionKind.values()) {
      decisions.put(kind, registry.counter("teaseltrail.decisions", "kind", kind.name()));
    }
    for (HeartbeatFailure failure : HeartbeatFailure.values()) {
      heartbeatsRefused.put(
          failure, registry.counter("teaseltrail.heartbeats.refused", "reason", failure.name()));
    }
    for (RolloutPhase phase : RolloutPhase.values()) {
      rollouts.put(phase, registry.counter("teaseltrail.rollouts.turned", "phase", phase.name()));
    }
    registry.gauge("teaseltrail.leading", leading);
    registry.gauge("teaseltrail.term", term);
    registry.gauge("teaseltrail.requests.held", setQuarantinedRequests);
    registry.gauge("teaseltrail.control.repair.ms", repairDurationMs);
    registry.gauge("teaseltrail.entry.connections", entryVms, EntryVmConnections::count);
    registry.gauge("teaseltrail.control.events.queued", loop, ControlEventLoop::queuedEvents);
  }

  void countDecision(DecisionKind kind) {
    decisions.get(kind).increment();
  }

  void countRefusedHeartbeat(HeartbeatFailure failure) {
    heartbeatsRefused.get(failure).increment();
  }

  void setLeadership(boolean serving, long newTerm) {
    leading.set(serving ? 1 : 0);
    term.set(newTerm);
  }

  void setQuarantinedRequests(int count) {
    setQuarantinedRequests.set(count);
  }

  void setRepairDuration(long durationMs) {
    repairDurationMs.set(durationMs);
  }

  /** Publishes the size of the replicated log. */
  void publish(LogSizeReporter size) {
    MeterRegistry registry = metrics.registry();
    registry.gauge("teaseltrail.log.entries", size, LogSizeReporter::entriesSinceSnapshot);
    registry.gauge("teaseltrail.log.bytes", size, LogSizeReporter::bytesSinceSnapshot);
    registry.gauge("teaseltrail.log.held.bytes", size, LogSizeReporter::heldBytes);
    registry.gauge("teaseltrail.snapshot.bytes", size, LogSizeReporter::snapshotBytes);
    registry.gauge("teaseltrail.snapshot.age.ms", size, LogSizeReporter::snapshotAgeMs);
  }

  void countRolloutPhase(RolloutPhase phase) {
    rollouts.get(phase).increment();
  }

  boolean isLeading() {
    return leading.get() == 1;
  }

  String scrape() {
    return metrics.scrape();
  }

  @Override
  public void close() {
    metrics.close();
  }
}
