package org.teaseltrail.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.Snapshot;
import org.teaseltrail.core.replication.Vote;

/** Simulated disk that keeps synced writes over a process kill and loses unsynced ones. */
final class SimulatedDisk {

  private final Deque<ReplicaAction.Write> unsynced = new ArrayDeque<>();
  private final List<LogEntry> entries;
  private Optional<Snapshot> snapshot = Optional.empty();
  private Vote vote = Vote.none();

  SimulatedDisk(LogEntry first) {
    entries = new ArrayList<>(List.of(first));
  }

  void write(ReplicaAction.Write write) {
    unsynced.addLast(write);
  }

  boolean isAllSynced() {
    return unsynced.isEmpty();
  }

  long latestWriteNumber() {
    return unsynced.getLast().writeNumber();
  }

  void sync(long writeNumber) {
    while (!unsynced.isEmpty() && unsynced.getFirst().writeNumber() <= writeNumber) {
      apply(unsynced.removeFirst());
    }
  }

  void discardUnsynced() {
    unsynced.clear();
  }

  RecoveredState recovered() {
    return new RecoveredState(vote, snapshot, entries);
  }

  private void apply(ReplicaAction.Write write) {
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
}
