package org.teaseltrail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;

/**
 * The content that was read from a log segment.
 *
 * @param entries the log entries
 * @param entryOffsetsBytes file offset of each entry's record, in bytes
 * @param validBytes size of the valid part, in bytes; data after it was never synced
 */
record SegmentContent(List<LogEntry> entries, List<Long> entryOffsetsBytes, long validBytes) {

  /**
   * Reads a segment.
   *
   * @param folder the data folder
   * @param name name of the file
   * @param isLast whether this is the last segment, in which a write may have been in progress
   * @return its content
   * @throws CorruptFolderException if synced data can't be read
   */
  static SegmentContent read(DataFolder folder, SegmentName name, boolean isLast) {
    byte[] file = folder.read(name.fileName());
    LogEntryCodec codec = new LogEntryCodec();
    List<LogEntry> entries = new ArrayList<>();
    List<Long> offsets = new ArrayList<>();
    int offset = 0;
    Optional<LogRecord> record = LogRecord.readAt(file, offset);
    while (record.isPresent()) {
      LogRecord valid = record.get();
      entries.add(codec.decode(file, valid.contentOffsetBytes(), valid.contentLength()));
      offsets.add((long) offset);
      offset = valid.endBytes();
      record = LogRecord.readAt(file, offset);
    }
    if (offset < file.length && (!isLast || wasSynced(file, offset))) {
      throw new CorruptFolderException(
          folder.path(name.fileName()), "no valid record at byte " + offset);
    }
    return new SegmentContent(entries, offsets, offset);
  }

  /**
   * Returns whether the data at an offset without a valid record had been synced.
   *
   * <p>A bad sector in the middle of the segment would otherwise look like a torn write, and
   * truncating there would silently lose acknowledged entries. It is recognized by any later valid
   * record whose synced size reaches beyond the offset.
   */
  private static boolean wasSynced(byte[] file, int invalidOffsetBytes) {
    for (int offset = invalidOffsetBytes + 1; offset < file.length; offset++) {
      Optional<LogRecord> later = LogRecord.readAt(file, offset);
      if (later.isPresent() && later.get().syncedBytes() > invalidOffsetBytes) {
        return true;
      }
    }
    return false;
  }
}
