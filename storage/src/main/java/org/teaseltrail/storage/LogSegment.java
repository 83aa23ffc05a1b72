package org.teaseltrail.storage;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.replication.LogEntry;

/** Is one file of the log, open for appending. Appended entries reach the file at a sync. */
final class LogSegment implements AutoCloseable {

  private final DataFolder folder;
  private final SegmentName name;
  private final AppendFile file;
  private final LogEntryCodec codec = new LogEntryCodec();
  private final List<Long> offsetsBytes;
  private final ByteArrayOutputStream unwritten = new ByteArrayOutputStream();
  private long writtenBytes;
  private long syncedBytes;

  private LogSegment(DataFolder folder, SegmentName name, SegmentContent content) {
    this.folder = folder;
    this.name = name;
    this.file = folder.openAppend(name.fileName());
    this.offsetsBytes = new ArrayList<>(content.offsetsBytes());
    this.writtenBytes = content.soundBytes();
    this.syncedBytes = content.soundBytes();
  }

  static LogSegment create(DataFolder folder, long firstIndex) {
    SegmentContent empty = new SegmentContent(List.of(), List.of(), 0);
    LogSegment segment = new LogSegment(folder, new SegmentName(firstIndex), empty);
    folder.sync();
    return segment;
  }

  /** Opens a segment behind its sound part; a torn end is cut off. */
  static LogSegment open(DataFolder folder, SegmentName name, SegmentContent content) {
    LogSegment segment = new LogSegment(folder, name, content);
    segment.cutAt(content.soundBytes());
    return segment;
  }

  SegmentName name() {
    return name;
  }

  long lastIndex() {
    return name.firstIndex() + offsetsBytes.size() - 1;
  }

  long sizeBytes() {
    return writtenBytes + unwritten.size();
  }

  void append(LogEntry entry) {
    offsetsBytes.add(sizeBytes());
    byte[] record = LogRecord.write(codec.encode(entry), syncedBytes);
    unwritten.write(record, 0, record.length);
  }

  void sync() {
    if (syncedBytes == sizeBytes()) {
      return;
    }
    flush();
    DataFolder.step(
        folder.path(name.fileName()),
        () -> {
          file.sync();
        });
    syncedBytes = writtenBytes;
  }

  /**
   * Cuts entries off, synced at once: were later appends to reach the disk before the cut, a
   * mixture of old and new records would be left.
   */
  void truncateFrom(long index) {
    flush();
    int position = Math.toIntExact(index - name.firstIndex());
    long sizeBytes = offsetsBytes.get(position);
    offsetsBytes.subList(position, offsetsBytes.size()).clear();
    cutAt(sizeBytes);
  }

  @Override
  public void close() {
    DataFolder.step(
        folder.path(name.fileName()),
        () -> {
          file.close();
        });
  }

  private void flush() {
    if (unwritten.size() == 0) {
      return;
    }
    byte[] bytes = unwritten.toByteArray();
    unwritten.reset();
    DataFolder.step(
        folder.path(name.fileName()),
        () -> {
          file.append(bytes);
        });
    writtenBytes += bytes.length;
  }

  private void cutAt(long sizeBytes) {
    DataFolder.step(
        folder.path(name.fileName()),
        () -> {
          file.truncate(sizeBytes);
          file.sync();
        });
    writtenBytes = sizeBytes;
    syncedBytes = sizeBytes;
  }
}
