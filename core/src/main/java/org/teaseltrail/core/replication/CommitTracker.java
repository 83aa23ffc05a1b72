package org.teaseltrail.core.replication;

import java.util.List;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** Tracks the commit index and emits each committed entry once to be applied. */
final class CommitTracker {

  private final Outbox outbox;
  private final ReplicatedLog log;
  private final SnapshotSettings settings;
  private final SnapshotScheduler schedule;
  private long commitIndex;
  private long committedBytesSinceSnapshot;

  CommitTracker(
      Outbox outbox, ReplicatedLog log, SnapshotScheduler schedule, SnapshotSettings settings) {
    this.outbox = outbox;
    this.log = log;
    this.schedule = schedule;
    this.settings = settings;
    this.commitIndex = log.snapshotIndex();
    log.snapshot().ifPresent(held -> outbox.add(new ReplicaAction.RestoreSnapshot(held)));
  }

  long commitIndex() {
    return commitIndex;
  }

  void advanceTo(long index) {
    if (index <= commitIndex) {
      return;
    }
    List<LogEntry> committed = log.range(commitIndex + 1, index);
    commitIndex = index;
    committedBytesSinceSnapshot += LogEntry.sizeBytes(committed);
    outbox.add(new ReplicaAction.Apply(committed));
    if (isSnapshotDue()) {
      outbox.add(new ReplicaAction.TakeSnapshot(index));
    }
  }

  /**
   * Compacts the log with the requested snapshot, unless a snapshot from a leader covers more by
   * now.
   */
  void onSnapshotTaken(
      ReplicaEvent.SnapshotTaken event, MembershipHistory members, long retainAfterIndex) {
    schedule.onSnapshotTaken();
    long index = event.index();
    if (index <= log.snapshotIndex() || index > commitIndex) {
      return;
    }
    long term = log.termAt(index).getAsLong();
    log.compact(
        new Snapshot(index, term, members.at(index), event.state()),
        Math.max(
            Math.min(slightLagStart(index), retainAfterIndex),
            log.startOfLast(index, settings.maxRetainedEntries(), settings.maxRetainedBytes())));
    committedBytesSinceSnapshot = LogEntry.sizeBytes(log.range(index + 1, commitIndex));
    members.onCompacted(index);
  }

  void installed(Snapshot snapshot) {
    Invariant.check(snapshot.index() > commitIndex, InvariantName.COMMIT_INDEX_GROWS);
    commitIndex = snapshot.index();
    committedBytesSinceSnapshot = 0;
    outbox.add(new ReplicaAction.RestoreSnapshot(snapshot));
  }

  private boolean isSnapshotDue() {
    return schedule.isDue(
        commitIndex - log.snapshotIndex(),
        committedBytesSinceSnapshot,
        log.snapshot().map(taken -> (long) taken.state().length).orElse(0L));
  }

  private long slightLagStart(long index) {
    return log.startOfLast(index, settings.retainedEntries(), settings.intervalBytes());
  }
}
