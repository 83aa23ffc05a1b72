package org.teaseltrail.storage;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.replication.LogEntry;

/**
 * One open segment file of the log. Appended entries are buffered until the next sync, except large
 * ones, which are written at once.
 */
final class LogSegment implements AutoCloseable {

  private static final int MAX_BUFFERED_TAIL_BYTES = 64 * 1024;

  private final DataFolder folder;
  private final SegmentName name;
  private final AppendFile file;
  private final LogEntryCodec codec = new LogEntryCodec();
  private final List<Long> entryOffsetsBytes;
  private final ByteArrayOutputStream writeBuffer = new ByteArrayOutputStream();
  private long writtenBytes;
  private long syncedBytes;

  private LogSegment(DataFolder folder, SegmentName name, SegmentContent content) {
    this.folder = folder;
    this.name = name;
    this.file = folder.openAppend(name.fileName());
    this.entryOffsetsBytes = new ArrayList<>(content.entryOffsetsBytes());
    this.writtenBytes = content.validBytes();
    this.syncedBytes = content.validBytes();
  }

  static LogSegment create(DataFolder folder, long firstIndex) {
    SegmentContent empty = new SegmentContent(List.of(), List.of(), 0);
    LogSegment segment = new LogSegment(folder, new SegmentName(firstIndex), empty);
    segment.prepare(folder::sync);
    return segment;
  }

  /** Opens a segment for appending after its valid part; a torn write at the end is truncated. */
  static LogSegment open(DataFolder folder, SegmentName name, SegmentContent content) {
    LogSegment segment = new LogSegment(folder, name, content);
    segment.prepare(() -> segment.truncateAndSync(content.validBytes()));
    return segment;
  }

  SegmentName name() {
    return name;
  }

  long lastIndex() {
    return name.firstIndex() + entryOffsetsBytes.size() - 1;
  }

  long sizeBytes() {
    return writtenBytes + writeBuffer.size();
  }

  void append(LogEntry entry) {
    entryOffsetsBytes.add(sizeBytes());
    byte[] tail = codec.tail(entry);
    writeBuffer.writeBytes(LogRecord.encodeHead(codec.encodeHead(entry), tail, syncedBytes));
    if (tail.length <= MAX_BUFFERED_TAIL_BYTES) {
      writeBuffer.writeBytes(tail);
    } else {
      flush();
      write(tail);
    }
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
   * Removes the entries from an index on and syncs at once. If later appends reached the disk
   * before the truncation, the file would hold a mixture of old and new records.
   */
  void truncateFrom(long index) {
    flush();
    int position = Math.toIntExact(index - name.firstIndex());
    long sizeBytes = entryOffsetsBytes.get(position);
    entryOffsetsBytes.subList(position, entryOffsetsBytes.size()).clear();
    truncateAndSync(sizeBytes);
  }

  /** Closes the file. What must survive has been synced, so a failure is only logged. */
  @Override
  public void close() {
    DataFolder.closeQuietly(file);
  }

  /** Closes the file if it can't be used: an attempt to open a folder is repeated for ever. */
  private void prepare(Runnable preparation) {
    try {
      preparation.run();
    } catch (RuntimeException e) {
      close();
      throw e;
    }
  }

  private void flush() {
    if (writeBuffer.size() == 0) {
      return;
    }
    byte[] bytes = writeBuffer.toByteArray();
    writeBuffer.reset();
    write(bytes);
  }

  private void write(byte[] bytes) {
    DataFolder.step(
        folder.path(name.fileName()),
        () -> {
          file.append(bytes);
        });
    writtenBytes += bytes.length;
  }

  private void truncateAndSync(long sizeBytes) {
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
