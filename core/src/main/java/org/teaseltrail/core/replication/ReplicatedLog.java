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
  private final EntryBuffer entries;
  private final SyncedIndexTracker syncMarks;
  private Optional<Snapshot> snapshot;
  private long bytesSinceSnapshot;

  ReplicatedLog(Outbox outbox, RecoveredState recovered) {
    this.outbox = outbox;
    this.snapshot = recovered.snapshot();
    long snapshotTerm = snapshot.map(Snapshot::term).orElse(0L);
    this.entries = new EntryBuffer(snapshotIndex(), snapshotTerm, recovered.entries());
    this.bytesSinceSnapshot = entries.bytes();
    this.syncMarks = new SyncedIndexTracker(lastIndex());
  }

  long lastIndex() {
    return entries.lastIndex();
  }

  long lastTerm() {
    return entries.lastTerm();
  }

  /** Returns the index that precedes the first entry in memory. */
  long baseIndex() {
    return entries.baseIndex();
  }

  long syncedIndex() {
    return syncMarks.syncedIndex();
  }

  /** Returns the size of the commands that wait for this member's disk, in bytes. */
  long unsyncedBytes() {
    return syncMarks.unsyncedBytes();
  }

  Optional<Snapshot> snapshot() {
    return snapshot;
  }

  long snapshotIndex() {
    return snapshot.map(Snapshot::index).orElse(0L);
  }

  LogStatus status() {
    return new LogStatus(
        entries.bytes(),
        lastIndex() - snapshotIndex(),
        bytesSinceSnapshot,
        snapshotIndex(),
        snapshot.map(taken -> (long) taken.state().length).orElse(0L));
  }

  /**
   * Returns the term of an entry, or empty if the entry is compacted or beyond the end of the log.
   */
  OptionalLong termAt(long index) {
    return entries.covers(index) ? OptionalLong.of(entries.termAt(index)) : OptionalLong.empty();
  }

  boolean hasEntry(long index, long term) {
    OptionalLong held = termAt(index);
    return held.isPresent() && held.getAsLong() == term;
  }

  /** Returns the entries of a range, both ends inclusive. */
  List<LogEntry> range(long firstIndex, long lastIndex) {
    return entries.range(firstIndex, lastIndex);
  }

  /**
   * Returns the index after which lie the last entries up to an index, as many as both limits allow
   * and as are in memory.
   */
  long startOfLast(long index, long maxEntries, long maxBytes) {
    return entries.startOfLast(index, maxEntries, maxBytes);
  }

  /** Returns entries starting at an index, as many as the limits allow but at least one. */
  List<LogEntry> batch(long firstIndex, int maxEntries, int maxBytes) {
    List<LogEntry> batch = new ArrayList<>();
    long bytes = 0;
    for (long index = firstIndex; index <= lastIndex() && batch.size() < maxEntries; index++) {
      LogEntry entry = entries.entryAt(index);
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
    long addedBytes = LogEntry.sizeBytes(added);
    entries.append(added);
    bytesSinceSnapshot += addedBytes;
    long write = outbox.write(number -> new ReplicaAction.AppendToLog(number, added));
    syncMarks.onWritten(write, lastIndex(), addedBytes);
  }

  /**
   * Removes the entries from an index on. The caller must ensure that none of them is committed.
   */
  void truncateFrom(long index) {
    long heldBefore = entries.bytes();
    entries.truncateFrom(index);
    bytesSinceSnapshot += entries.bytes() - heldBefore;
    syncMarks.onTruncatedTo(lastIndex());
    long write = outbox.write(number -> new ReplicaAction.TruncateLog(number, index));
    syncMarks.onWritten(write, lastIndex(), 0);
  }

  /**
   * Saves a snapshot of this member's own state and drops the entries up to an index before its
   * end.
   */
  void compact(Snapshot taken, long retainAfterIndex) {
    snapshot = Optional.of(taken);
    bytesSinceSnapshot = entries.bytesAfter(taken.index());
    long keepAfterIndex = Math.max(baseIndex(), retainAfterIndex);
    outbox.write(number -> new ReplicaAction.SaveSnapshot(number, taken, keepAfterIndex, false));
    entries.removeThrough(keepAfterIndex);
  }

  /**
   * Installs a snapshot received from the leader. Entries after it are kept only if the log has the
   * snapshot's last entry; otherwise they may differ from the leader's log.
   */
  void install(Snapshot received) {
    boolean discardsLog = !hasEntry(received.index(), received.term());
    snapshot = Optional.of(received);
    if (discardsLog) {
      entries.restartAfter(received.index(), received.term());
      syncMarks.onTruncatedTo(0);
    } else {
      entries.removeThrough(received.index());
    }
    bytesSinceSnapshot = entries.bytes();
    long write =
        outbox.write(
            number ->
                new ReplicaAction.SaveSnapshot(number, received, received.index(), discardsLog));
    syncMarks.onWritten(write, lastIndex(), 0);
  }

  void onSynced(long writeNumber) {
    syncMarks.onSynced(writeNumber);
  }
}
