package org.teaseltrail.core.forward;

import java.util.List;
import java.util.function.Consumer;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;

/** Tells the leader, beside syncs, what it needs to know of this VM to decide for all. */
final class LeaderReporter {

  private final ControlClient ties;
  private final UpstreamTracker upstreams;
  private final SlotGrantTracker slots;
  private final RequestCoordinator requests;
  private final QuarantineTracker quarantine;
  private final VersionRouter gate;
  private final RateLimitClient limits;
  private final Consumer<ForwardAction> out;
  private long toldChanges;

  LeaderReporter(
      ControlClient ties,
      UpstreamTracker upstreams,
      SlotGrantTracker slots,
      RequestCoordinator requests,
      QuarantineTracker quarantine,
      VersionRouter gate,
      RateLimitClient limits,
      Consumer<ForwardAction> out) {
    this.ties = ties;
    this.upstreams = upstreams;
    this.slots = slots;
    this.requests = requests;
    this.quarantine = quarantine;
    this.gate = gate;
    this.limits = limits;
    this.out = out;
  }

  /** Tells what goes with a sync. */
  void reportWithSync(long nowNs) {
    quarantine.scheduleResend(false, nowNs);
    gate.createReport(ties.session().newestFencing(), nowNs)
        .flatMap(report -> ties.messageToLeader(report, nowNs))
        .ifPresent(out);
    if (ties.hasLeader(nowNs)) {
      limits
          .createReport(ties.session().newestFencing(), requests.lines(), nowNs)
          .flatMap(report -> ties.messageToLeader(report, nowNs))
          .ifPresent(out);
    }
  }

  /** Tells of changes to what waits, and of what ended upstreams. */
  void reportChanges(long nowNs) {
    tellLines(nowNs);
    if (quarantine.hasPendingReport() && ties.hasLeader(nowNs)) {
      ties.messageToLeader(quarantine.createReport(nowNs), nowNs).ifPresent(out);
    }
  }

  private void tellLines(long nowNs) {
    boolean changed = requests.changes() != toldChanges;
    if (!changed) {
      return;
    }
    List<QueueState> lines = requests.lines().queueStates(nowNs);
    if (!lines.isEmpty() || slots.hasContendedService()) {
      toldChanges = requests.changes();
      ServingMessage.Lines told =
          new ServingMessage.Lines(
              ties.vm(),
              slots.grantsSeen(),
              upstreams.inFlight(),
              upstreams.unread(),
              requests.held(),
              lines);
      ties.messageToLeader(told, nowNs).ifPresent(out);
    }
  }
}
