package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * In-memory log: the entries since the last snapshot and some before it. Every change is also
 * emitted as a write.
 */
final class ReplicatedLog {

  private final Outbox outbox;
  private final List<LogEntry> entries;
  private final SyncedIndexTracker syncMarks;
  private Optional<Snapshot> snapshot;
  private long baseIndex;
  private long baseTerm;

  ReplicatedLog(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    this.snapshot = recovered.snapshot();
    this.entries = new ArrayList<>(recovered.entries());
    startAtSnapshot();
    this.syncMarks = new SyncedIndexTracker(lastIndex());
  }

  private void startAtSnapshot() {
    if (snapshot.isEmpty()) {
      return;
    }

    baseIndex = snapshot.get().index();
    baseTerm = snapshot.get().term();
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the index that precedes the first entry in memory. */
  long baseIndex() {
    return baseIndex;
  }

  long syncedIndex() {
    return syncMarks.syncedIndex();
  }

  Optional<Snapshot> snapshot() {
    return snapshot;
  }

  long snapshotIndex() {
    return snapshot.map(Snapshot::index).orElse(0L);
  }

  /**
   * Returns the term of an entry, or empty if the entry is compacted or beyond the end of the log.
   */
  OptionalLong termAt(long index) {
    if (index == baseIndex) {
      return OptionalLong.of(baseTerm);
    }
    if (index < baseIndex || index > lastIndex()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(entryAt(index).term());
  }

  boolean hasEntry(long index, long term) {
    OptionalLong held = termAt(index);
    return held.isPresent() && held.getAsLong() == term;
  }

  /** Returns the entries of a range, both ends inclusive. */
  List<LogEntry> range(long firstIndex, long lastIndex) {
    return List.copyOf(entries.subList(position(firstIndex), position(lastIndex) + 1));
  }

  /** Returns entries starting at an index, as many as the limits allow but at least one. */
  List<LogEntry> batch(long firstIndex, int maxEntries, int maxBytes) {
    List<LogEntry> batch = new ArrayList<>();
    long bytes = 0;
    for (long index = firstIndex; index <= lastIndex() && batch.size() < maxEntries; index++) {
      LogEntry entry = entryAt(index);
      bytes += entry.payload().sizeBytes();
      if (!batch.isEmpty() && bytes > maxBytes) {
        break;
      }
      batch.add(entry);
    }
    return batch;
  }

  void append(List<LogEntry> added) {
    Invariant.check(added.get(0).index() == lastIndex() + 1, InvariantName.LOG_WITHOUT_GAP);
    entries.addAll(added);
    long write = outbox.write(number -> new ReplicaAction.AppendToLog(number, added));
    syncMarks.onWritten(write, lastIndex());
  }

  /**
   * Removes the entries from an index on. The caller must ensure that none of them is committed.
   */
  void truncateFrom(long index) {
    entries.subList(position(index), entries.size()).clear();
    syncMarks.onTruncatedTo(lastIndex());
    long write = outbox.write(number -> new ReplicaAction.TruncateLog(number, index));
    syncMarks.onWritten(write, lastIndex());
  }

  /**
   * Saves a snapshot of this member's own state and drops the entries up to an index before its
   * end.
   */
  void compact(Snapshot taken, long retainAfterIndex) {
    snapshot = Optional.of(taken);
    long keepAfterIndex = Math.max(baseIndex, retainAfterIndex);
    outbox.write(number -> new ReplicaAction.SaveSnapshot(number, taken, keepAfterIndex, false));
    removeThrough(keepAfterIndex);
  }

  /**
   * Installs a snapshot received from the leader. Entries after it are kept only if the log has the
   * snapshot's last entry; otherwise they may differ from the leader's log.
   */
  void install(Snapshot received) {
    boolean discardsLog = !hasEntry(received.index(), received.term());
    snapshot = Optional.of(received);
    if (discardsLog) {
      entries.clear();
      baseIndex = received.index();
      baseTerm = received.term();
      syncMarks.onTruncatedTo(0);
    } else {
      removeThrough(received.index());
    }
    long write =
        outbox.write(
            number ->
                new ReplicaAction.SaveSnapshot(number, received, received.index(), discardsLog));
    syncMarks.onWritten(write, lastIndex());
  }

  void onSynced(long writeNumber) {
    syncMarks.onSynced(writeNumber);
  }

  private void removeThrough(long index) {
    if (index <= baseIndex) {
      return;
    }
    long term = termAt(index).getAsLong();
    entries.subList(0, position(index) + 1).clear();
    baseIndex = index;
    baseTerm = term;
  }

  private LogEntry entryAt(long index) {
    return entries.get(position(index));
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex - 1);
  }
}
