package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Knows the member set at each index of the log. A member set counts as soon as its entry is in the
 * log, committed or not, and no longer when the entry is cut off.
 */
final class MembershipHistory {

  private record Step(long index, Membership membership) {}

  private final Outbox outbox;
  private final List<Step> steps = new ArrayList<>();

  MembershipHistory(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    long coveredIndex = recovered.snapshot().map(Snapshot::index).orElse(0L);
    Membership first = recovered.snapshot().map(Snapshot::membership).orElse(Membership.empty());
    steps.add(new Step(coveredIndex, first));
    recovered.entries().forEach(this::addStep);
  }

  Membership latest() {
    return latestStep().membership();
  }

  long latestIndex() {
    return latestStep().index();
  }

  Membership at(long index) {
    Step found = steps.get(0);
    for (Step step : steps) {
      found = step.index() <= index ? step : found;
    }
    return found.membership();
  }

  void appended(List<LogEntry> entries) {
    long before = latestIndex();
    entries.forEach(this::addStep);
    announceIfNot(before);
  }

  void truncatedFrom(long index) {
    long before = latestIndex();
    steps.removeIf(step -> step.index() >= index && step.index() > 0);
    announceIfNot(before);
  }

  void installed(Snapshot snapshot) {
    steps.removeIf(step -> step.index() <= snapshot.index());
    steps.add(0, new Step(snapshot.index(), snapshot.membership()));
    outbox.add(new ReplicaAction.MembershipChanged(latest()));
  }

  /** Forgets what came after a snapshot's end; used when the log starts anew at it. */
  void restartedAt(Snapshot snapshot) {
    steps.clear();
    installed(snapshot);
  }

  private void announceIfNot(long index) {
    if (latestIndex() != index) {
      outbox.add(new ReplicaAction.MembershipChanged(latest()));
    }
  }

  private void addStep(LogEntry entry) {
    if (entry.payload() instanceof EntryPayload.MembershipPayload payload) {
      steps.add(new Step(entry.index(), payload.membership()));
    }
  }

  private Step latestStep() {
    return steps.get(steps.size() - 1);
  }
}
