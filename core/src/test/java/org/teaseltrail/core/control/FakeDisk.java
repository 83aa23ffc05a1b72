package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.Snapshot;
import org.teaseltrail.core.replication.Vote;

/** Stores synced writes so that they survive a kill of the member. */
final class FakeDisk {

  private Vote vote;
  private Optional<Snapshot> snapshot;
  private final List<LogEntry> entries;

  FakeDisk(RecoveredState initial) {
    vote = initial.vote();
    snapshot = initial.snapshot();
    entries = new ArrayList<>(initial.entries());
  }

  void sync(ReplicaAction.Write write) {
    if (write instanceof ReplicaAction.AppendToLog append) {
      entries.addAll(append.entries());
    } else if (write instanceof ReplicaAction.TruncateLog truncate) {
      entries.removeIf(entry -> entry.index() >= truncate.fromIndex());
    } else if (write instanceof ReplicaAction.SaveVote saved) {
      vote = saved.vote();
    } else if (write instanceof ReplicaAction.SaveSnapshot saved) {
      snapshot = Optional.of(saved.snapshot());
      entries.removeIf(entry -> saved.discardsLog() || entry.index() <= saved.retainAfterIndex());
    }
  }

  RecoveredState recovered() {
    return new RecoveredState(vote, snapshot, entries);
  }

  boolean hasSnapshot() {
    return snapshot.isPresent();
  }
}
