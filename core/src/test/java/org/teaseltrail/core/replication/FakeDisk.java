package org.teaseltrail.core.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Simulated disk that keeps synced writes over a crash and loses all other writes from some point
 * on.
 */
final class FakeDisk {

  private final Deque<ReplicaAction.Write> unsynced = new ArrayDeque<>();
  private Vote vote;
  private Optional<Snapshot> snapshot;
  private final List<LogEntry> entries;

  FakeDisk(RecoveredState initial) {
    this.vote = initial.vote();
    this.snapshot = initial.snapshot();
    this.entries = new ArrayList<>(initial.entries());
  }

  void write(ReplicaAction.Write write) {
    unsynced.addLast(write);
  }

  boolean isAllSynced() {
    return unsynced.isEmpty();
  }

  long newestWriteNumber() {
    return unsynced.getLast().writeNumber();
  }

  void sync(long writeNumber) {
    while (!unsynced.isEmpty() && unsynced.getFirst().writeNumber() <= writeNumber) {
      apply(unsynced.removeFirst());
    }
  }

  /** Simulates a power loss: only the given number of unsynced writes, in order, reach the disk. */
  void crash(int survivingWrites) {
    for (int i = 0; i < survivingWrites && !unsynced.isEmpty(); i++) {
      apply(unsynced.removeFirst());
    }
    unsynced.clear();
  }

  /** Returns the size of the commands and states in unsynced writes, in bytes. */
  long unsyncedBytes() {
    return unsynced.stream().mapToLong(FakeDisk::sizeBytes).sum();
  }

  private static long sizeBytes(ReplicaAction.Write write) {
    if (write instanceof ReplicaAction.AppendToLog append) {
      return LogEntry.sizeBytes(append.entries());
    }
    return write instanceof ReplicaAction.SaveSnapshot saved ? saved.snapshot().state().length : 0;
  }

  int unsyncedCount() {
    return unsynced.size();
  }

  RecoveredState recovered() {
    return new RecoveredState(vote, snapshot, entries);
  }

  /** Returns whether the entry would survive a power loss now. */
  boolean isDurable(LogEntry entry) {
    return snapshot.map(Snapshot::index).orElse(0L) >= entry.index() || entries.contains(entry);
  }

  Vote syncedVote() {
    return vote;
  }

  long syncedIndex() {
    long covered = snapshot.map(Snapshot::index).orElse(0L);
    return entries.isEmpty() ? covered : Math.max(covered, lastEntry().index());
  }

  /** Returns the member set that the log would have if all writes were synced. */
  Membership writtenMembership() {
    FakeDisk all = new FakeDisk(recovered());
    unsynced.forEach(all::apply);
    Membership latest = all.snapshot.map(Snapshot::membership).orElse(Membership.empty());
    for (LogEntry entry : all.recovered().entries()) {
      if (entry.payload() instanceof EntryPayload.MembershipPayload payload) {
        latest = payload.membership();
      }
    }
    return latest;
  }

  private LogEntry lastEntry() {
    return entries.get(entries.size() - 1);
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
