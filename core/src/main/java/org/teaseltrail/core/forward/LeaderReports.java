package org.teaseltrail.core.forward;

import java.util.List;
import java.util.function.Consumer;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;

/** Tells the leader, beside syncs, what it needs to know of this VM to decide for all. */
final class LeaderReports {

  private final ControlTies ties;
  private final UpstreamBook upstreams;
  private final SlotTies slots;
  private final RequestDesk requests;
  private final Quarantine quarantine;
  private final VersionGate gate;
  private final LimitTies limits;
  private final Consumer<ForwardAction> out;
  private long toldChanges;

  LeaderReports(
      ControlTies ties,
      UpstreamBook upstreams,
      SlotTies slots,
      RequestDesk requests,
      Quarantine quarantine,
      VersionGate gate,
      LimitTies limits,
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
  void withSync(long nowNs) {
    quarantine.tellAgain(false, nowNs);
    gate.report(ties.session().newestFencing(), nowNs)
        .flatMap(report -> ties.tell(report, nowNs))
        .ifPresent(out);
    if (ties.hearsLeader(nowNs)) {
      limits
          .report(ties.session().newestFencing(), requests.lines(), nowNs)
          .flatMap(report -> ties.tell(report, nowNs))
          .ifPresent(out);
    }
  }

  /** Tells of changes to what waits, and of what ended upstreams. */
  void ofChanges(long nowNs) {
    tellLines(nowNs);
    if (quarantine.hasReport() && ties.hearsLeader(nowNs)) {
      ties.tell(quarantine.report(nowNs), nowNs).ifPresent(out);
    }
  }

  private void tellLines(long nowNs) {
    boolean changed = requests.changes() != toldChanges;
    if (!changed) {
      return;
    }
    List<QueueState> lines = requests.lines().states(nowNs);
    if (!lines.isEmpty() || slots.isAnyContended()) {
      toldChanges = requests.changes();
      ServingMessage.Lines told =
          new ServingMessage.Lines(
              ties.vm(),
              slots.grantsSeen(),
              upstreams.inFlight(),
              upstreams.unread(),
              requests.held(),
              lines);
      ties.tell(told, nowNs).ifPresent(out);
    }
  }
}
