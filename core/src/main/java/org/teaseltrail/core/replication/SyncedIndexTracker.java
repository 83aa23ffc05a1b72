package org.teaseltrail.core.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks the index up to which the log is synced, derived from the synced writes.
 *
 * <p>An index counts as synced only after a write at or after the one that contains it is synced.
 * An index that was truncated and rewritten counts only with the new write. Otherwise a member
 * could acknowledge entries that a power loss then removes.
 */
final class SyncedIndexTracker {

  private record PendingWrite(long writeNumber, long lastIndex, long bytes) {}

  private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private long syncedIndex;
  private long unsyncedBytes;

  SyncedIndexTracker(long syncedIndex) {
    this.syncedIndex = syncedIndex;
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** Returns the size of the commands in writes that are not synced, in bytes. */
  long unsyncedBytes() {
    return unsyncedBytes;
  }

  /** Records the last index of the log after a write with commands of the given size. */
  void onWritten(long writeNumber, long lastIndex, long bytes) {
    pendingWrites.addLast(new PendingWrite(writeNumber, lastIndex, bytes));
    unsyncedBytes += bytes;
  }

  /** Records a truncation of the log; earlier writes no longer count beyond the new last index. */
  void onTruncatedTo(long lastIndex) {
    syncedIndex = Math.min(syncedIndex, lastIndex);
    List<PendingWrite> limited = new ArrayList<>();
    for (PendingWrite write : pendingWrites) {
      limited.add(
          new PendingWrite(
              write.writeNumber(), Math.min(write.lastIndex(), lastIndex), write.bytes()));
    }
    pendingWrites.clear();
    pendingWrites.addAll(limited);
  }

  /** Records that all writes up to a number are synced. */
  void onSynced(long writeNumber) {
    while (!pendingWrites.isEmpty() && pendingWrites.getFirst().writeNumber() <= writeNumber) {
      PendingWrite synced = pendingWrites.removeFirst();
      syncedIndex = synced.lastIndex();
      unsyncedBytes -= synced.bytes();
    }
  }
}
