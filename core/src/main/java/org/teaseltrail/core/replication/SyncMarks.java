package org.teaseltrail.core.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Knows up to which index the log is synced, from the writes that are.
 *
 * <p>Guards against an acknowledgement of entries that a power loss takes back: an index counts as
 * synced only once a write at or after the one that holds it is, and an index that was cut off and
 * written anew counts only by the new write.
 */
final class SyncMarks {

  private record Mark(long writeNumber, long lastIndex) {}

  private final Deque<Mark> marks = new ArrayDeque<>();
  private long syncedIndex;

  SyncMarks(long syncedIndex) {
    this.syncedIndex = syncedIndex;
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** Notes that the log ends at an index as of a write. */
  void written(long writeNumber, long lastIndex) {
    marks.addLast(new Mark(writeNumber, lastIndex));
  }

  /** Notes that the log now ends at an index, whatever older writes put behind it. */
  void truncatedTo(long lastIndex) {
    syncedIndex = Math.min(syncedIndex, lastIndex);
    List<Mark> clamped = new ArrayList<>();
    for (Mark mark : marks) {
      clamped.add(new Mark(mark.writeNumber(), Math.min(mark.lastIndex(), lastIndex)));
    }
    marks.clear();
    marks.addAll(clamped);
  }

  /** Notes that all writes up to a number are synced. */
  void synced(long writeNumber) {
    while (!marks.isEmpty() && marks.getFirst().writeNumber() <= writeNumber) {
      syncedIndex = marks.removeFirst().lastIndex();
    }
  }
}
