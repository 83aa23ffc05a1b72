package org.teaseltrail.core.replication;

import java.util.List;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/** Knows up to which index the log is committed, and passes committed entries on once. */
final class CommitPoint {

  private final Outbox outbox;
  private final ReplicatedLog log;
  private final ReplicaSettings settings;
  private long commitIndex;
  private boolean snapshotAskedFor;

  CommitPoint(Outbox outbox, ReplicatedLog log, ReplicaSettings settings) {
    this.outbox = outbox;
    this.log = log;
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
    if (!snapshotAskedFor && index - log.snapshotIndex() >= settings.snapshotEveryEntries()) {
      snapshotAskedFor = true;
      outbox.add(new ReplicaAction.TakeSnapshot(index));
    }
  }

  /** Takes the state that was asked for, unless a leader's snapshot has overtaken it. */
  void snapshotTaken(long index, byte[] state, MembershipHistory members) {
    snapshotAskedFor = false;
    if (index <= log.snapshotIndex() || index > commitIndex) {
      return;
    }
    long term = log.termAt(index).getAsLong();
    Snapshot taken = new Snapshot(index, term, members.at(index), state);
    log.compact(taken, settings.keptEntries());
  }

  void installed(Snapshot snapshot) {
    Invariant.check(snapshot.index() > commitIndex, InvariantName.COMMIT_INDEX_GROWS);
    commitIndex = snapshot.index();
    outbox.add(new ReplicaAction.RestoreSnapshot(snapshot));
  }
}
