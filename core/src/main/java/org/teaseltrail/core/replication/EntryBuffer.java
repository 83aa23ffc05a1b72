package org.teaseltrail.core.replication;

import java.util.ArrayList;
import java.util.List;

/** Consecutive log entries in memory, together with the size of their commands. */
final class EntryBuffer {

  private final List<LogEntry> entries;
  private long baseIndex;
  private long baseTerm;
  private long bytes;

  /** Creates a buffer whose first entry follows the entry with the given index and term. */
  EntryBuffer(long baseIndex, long baseTerm, List<LogEntry> entries) {
    this.baseIndex = baseIndex;
    this.baseTerm = baseTerm;
    this.entries = new ArrayList<>(entries);
    this.bytes = LogEntry.sizeBytes(entries);
  }

  /** Returns the index that precedes the first entry. */
  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the size of all commands, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Returns the size of the commands after an index, in bytes. */
  long bytesAfter(long index) {
    return LogEntry.sizeBytes(entries.subList(position(index + 1), entries.size()));
  }

  /** Returns the term of an entry or of the one before the first; other indexes are invalid. */
  long termAt(long index) {
    return index == baseIndex ? baseTerm : entryAt(index).term();
  }

  boolean covers(long index) {
    return index >= baseIndex && index <= lastIndex();
  }

  LogEntry entryAt(long index) {
    return entries.get(position(index));
  }

  /** Returns the entries of a range, both ends inclusive. */
  List<LogEntry> range(long firstIndex, long lastIndex) {
    return List.copyOf(entries.subList(position(firstIndex), position(lastIndex) + 1));
  }

  /**
   * Returns the index after which lie the last entries up to an index, as many as both limits allow
   * and as there are.
   */
  long startOfLast(long index, long maxEntries, long maxBytes) {
    long start = index;
    long total = 0;
    while (start > baseIndex && index - start < maxEntries) {
      total += entryAt(start).payload().sizeBytes();
      if (total > maxBytes) {
        return start;
      }
      start--;
    }
    return start;
  }

  void append(List<LogEntry> added) {
    entries.addAll(added);
    bytes += LogEntry.sizeBytes(added);
  }

  /** Removes the entries from an index on. */
  void truncateFrom(long index) {
    clear(entries.subList(position(index), entries.size()));
  }

  /** Removes the entries up to and including an index; does nothing if they are removed already. */
  void removeThrough(long index) {
    if (index <= baseIndex) {
      return;
    }
    long term = termAt(index);
    clear(entries.subList(0, position(index) + 1));
    baseIndex = index;
    baseTerm = term;
  }

  /** Removes all entries; the next one follows the entry with the given index and term. */
  void restartAfter(long index, long term) {
    clear(entries);
    baseIndex = index;
    baseTerm = term;
  }

  private void clear(List<LogEntry> removed) {
    bytes -= LogEntry.sizeBytes(removed);
    removed.clear();
  }

  private int position(long index) {
    return Math.toIntExact(index - baseIndex - 1);
  }
}
