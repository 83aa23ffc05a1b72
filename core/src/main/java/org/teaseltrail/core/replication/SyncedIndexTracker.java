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

  private record PendingWrite(long writeNumber, long lastIndex) {}

  private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private long syncedIndex;

  SyncedIndexTracker(long syncedIndex) {
    this.syncedIndex = syncedIndex;
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** Records the last index of the log after a write. */
  void onWritten(long writeNumber, long lastIndex) {
    pendingWrites.addLast(new PendingWrite(writeNumber, lastIndex));
  }

  /** Records a truncation of the log; earlier writes no longer count beyond the new last index. */
  void onTruncatedTo(long lastIndex) {
    syncedIndex = Math.min(syncedIndex, lastIndex);
    List<PendingWrite> limited = new ArrayList<>();
    for (PendingWrite write : pendingWrites) {
      limited.add(new PendingWrite(write.writeNumber(), Math.min(write.lastIndex(), lastIndex)));
    }
    pendingWrites.clear();
    pendingWrites.addAll(limited);
  }

  /** Records that all writes up to a number are synced. */
  void onSynced(long writeNumber) {
    while (!pendingWrites.isEmpty() && pendingWrites.getFirst().writeNumber() <= writeNumber) {
      syncedIndex = pendingWrites.removeFirst().lastIndex();
    }
  }
}
