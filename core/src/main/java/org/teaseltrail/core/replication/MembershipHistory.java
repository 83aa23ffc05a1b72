package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the member set at each index of the log. A member set is in effect as soon as its entry
 * is in the log, whether committed or not, until the entry is truncated.
 */
final class MembershipHistory {

  private record Step(long index, Membership membership) {}

  private final Outbox outbox;
  private final List<Step> steps = new ArrayList<>();

  MembershipHistory(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    long snapshotIndex = recovered.snapshot().map(Snapshot::index).orElse(0L);
    Membership initial = recovered.snapshot().map(Snapshot::membership).orElse(Membership.empty());
    steps.add(new Step(snapshotIndex, initial));
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

  void onAppended(List<LogEntry> entries) {
    long before = latestIndex();
    entries.forEach(this::addStep);
    publishUnlessLatestIs(before);
  }

  void onTruncatedFrom(long index) {
    long before = latestIndex();
    steps.removeIf(step -> step.index() >= index && step.index() > 0);
    publishUnlessLatestIs(before);
  }

  /** Forgets the member sets that were replaced before the end of this member's own snapshot. */
  void onCompacted(long snapshotIndex) {
    while (steps.size() > 1 && steps.get(1).index() <= snapshotIndex) {
      steps.remove(0);
    }
  }

  /** Returns the number of member sets that are held. */
  int size() {
    return steps.size();
  }

  void installed(Snapshot snapshot) {
    steps.removeIf(step -> step.index() <= snapshot.index());
    steps.add(0, new Step(snapshot.index(), snapshot.membership()));
    outbox.add(new ReplicaAction.MembershipChanged(latest()));
  }

  /**
   * Discards all member sets and starts again with the one of a snapshot; used when the log
   * restarts at the snapshot.
   */
  void resetTo(Snapshot snapshot) {
    steps.clear();
    installed(snapshot);
  }

  private void publishUnlessLatestIs(long index) {
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
