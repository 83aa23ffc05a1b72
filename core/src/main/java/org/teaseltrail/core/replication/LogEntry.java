package org.teaseltrail.core.replication;

import java.util.List;

/**
 * Entry of the replicated log. Index and term together identify its content uniquely.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param payload the content
 */
public record LogEntry(long index, long term, EntryPayload payload) {

  /** Returns the size of the entries' commands, in bytes. */
  static long sizeBytes(List<LogEntry> entries) {
    return entries.stream().mapToLong(entry -> entry.payload().sizeBytes()).sum();
  }
}
