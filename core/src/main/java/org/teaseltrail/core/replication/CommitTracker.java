package org.teaseltrail.core.replication;

import java.util.List;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** Tracks the commit index and emits each committed entry once to be applied. */
final class CommitTracker {

  private final Outbox outbox;
  private final ReplicatedLog log;
  private final ReplicaSettings settings;
  private final SnapshotScheduler schedule;
  private long commitIndex;

  CommitTracker(
      Outbox outbox, ReplicatedLog log, SnapshotScheduler schedule, ReplicaSettings settings) {
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
    outbox.add(new ReplicaAction.Apply(committed));
    if (schedule.isDue(committed, log.snapshot())) {
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
    Snapshot taken = new Snapshot(index, term, members.at(index), event.state());
    long wanted = Math.min(index - settings.retainedEntries(), retainAfterIndex);
    log.compact(taken, Math.max(wanted, index - settings.maxRetainedEntries()));
  }

  void installed(Snapshot snapshot) {
    Invariant.check(snapshot.index() > commitIndex, InvariantName.COMMIT_INDEX_GROWS);
    commitIndex = snapshot.index();
    outbox.add(new ReplicaAction.RestoreSnapshot(snapshot));
  }
}
