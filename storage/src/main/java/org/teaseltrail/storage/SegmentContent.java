package org.teaseltrail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;

/**
 * Is what a log segment was found to hold.
 *
 * @param entries its entries
 * @param offsetsBytes where each entry begins
 * @param soundBytes size of the part that is sound; what lies behind it was never synced
 */
record SegmentContent(List<LogEntry> entries, List<Long> offsetsBytes, long soundBytes) {

  /**
   * Reads a segment.
   *
   * @param folder the data folder
   * @param name name of the file
   * @param isLast whether writes may have been under way in it
   * @return its content
   * @throws DamagedFolderException if something that was synced can't be read
   */
  static SegmentContent read(DataFolder folder, SegmentName name, boolean isLast) {
    byte[] file = folder.read(name.fileName());
    LogEntryCodec codec = new LogEntryCodec();
    List<LogEntry> entries = new ArrayList<>();
    List<Long> offsets = new ArrayList<>();
    int offset = 0;
    Optional<LogRecord> record = LogRecord.readAt(file, offset);
    while (record.isPresent()) {
      LogRecord sound = record.get();
      entries.add(codec.decode(file, sound.contentOffsetBytes(), sound.contentLength()));
      offsets.add((long) offset);
      offset = sound.endBytes();
      record = LogRecord.readAt(file, offset);
    }
    if (offset < file.length && (!isLast || wasSynced(file, offset))) {
      throw new DamagedFolderException(
          folder.path(name.fileName()), "no sound record at byte " + offset);
    }
    return new SegmentContent(entries, offsets, offset);
  }

  /**
   * Tells whether a part without a sound record had been synced.
   *
   * <p>Failure: a bad sector in the middle would look like a torn write, and cutting there would
   * lose acknowledged entries without a word. The guard: any sound record behind it that was
   * written after the part had been synced tells so.
   */
  private static boolean wasSynced(byte[] file, int flawBytes) {
    for (int offset = flawBytes + 1; offset < file.length; offset++) {
      Optional<LogRecord> later = LogRecord.readAt(file, offset);
      if (later.isPresent() && later.get().syncedBytes() > flawBytes) {
        return true;
      }
    }
    return false;
  }
}
