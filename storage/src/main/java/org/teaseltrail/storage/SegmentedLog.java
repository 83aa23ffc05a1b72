package org.teaseltrail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Snapshot;

/** The replicated log on disk: consecutive segment files, of which only the last is appended to. */
final class SegmentedLog implements AutoCloseable {

  private final DataFolder folder;
  private final long segmentBytes;
  private final List<LogSegment> segments = new ArrayList<>();

  SegmentedLog(DataFolder folder, long segmentBytes) {
    this.folder = folder;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Reads all segments and opens the log for appending.
   *
   * @param snapshot the newest snapshot
   * @return the log entries; empty if the snapshot supersedes the log
   * @throws CorruptFolderException if synced data is missing or can't be read
   */
  List<LogEntry> recover(Optional<Snapshot> snapshot) {
    List<SegmentName> names =
        folder.list().stream().filter(SegmentName::isSegmentName).map(SegmentName::parse).toList();
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 0; i < names.size(); i++) {
      SegmentName name = names.get(i);
      SegmentContent content = SegmentContent.read(folder, name, i == names.size() - 1);
      checkContiguous(name, content, entries);
      entries.addAll(content.entries());
      segments.add(LogSegment.open(folder, name, content));
    }
    long coveredIndex = snapshot.map(Snapshot::index).orElse(0L);
    checkNoGapBeforeLog(names, coveredIndex);
    if (snapshot.isPresent() && isSupersededBy(snapshot.get(), entries)) {
      deleteAllSegments();
      return List.of();
    }
    return entries;
  }

  void append(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      if (segments.isEmpty() || lastSegment().sizeBytes() >= segmentBytes) {
        sync();
        segments.add(LogSegment.create(folder, entry.index()));
      }
      lastSegment().append(entry);
    }
  }

  void truncateFrom(long index) {
    while (!segments.isEmpty() && lastSegment().name().firstIndex() >= index) {
      deleteLastSegment();
    }
    if (!segments.isEmpty() && lastSegment().lastIndex() >= index) {
      lastSegment().truncateFrom(index);
    }
  }

  /**
   * Deletes the segments that end at or before an index, except the last one. A synced snapshot
   * covers their entries.
   */
  void deleteSegmentsThrough(long index) {
    while (segments.size() > 1 && segments.get(0).lastIndex() <= index) {
      LogSegment first = segments.remove(0);
      first.close();
      folder.delete(first.name().fileName());
    }
  }

  /**
   * Deletes all segments, newest first. A crash in between then leaves a log that ends early. In
   * the opposite order it would leave a gap between the snapshot and the log, which recovery
   * reports as corruption.
   */
  void deleteAllSegments() {
    while (!segments.isEmpty()) {
      deleteLastSegment();
    }
  }

  void sync() {
    if (!segments.isEmpty()) {
      lastSegment().sync();
    }
  }

  @Override
  public void close() {
    segments.forEach(LogSegment::close);
  }

  private LogSegment lastSegment() {
    return segments.get(segments.size() - 1);
  }

  private void deleteLastSegment() {
    LogSegment removed = segments.remove(segments.size() - 1);
    removed.close();
    folder.delete(removed.name().fileName());
    folder.sync();
  }

  private void checkContiguous(
      SegmentName name, SegmentContent content, List<LogEntry> previousEntries) {
    long expectedIndex =
        previousEntries.isEmpty()
            ? name.firstIndex()
            : previousEntries.get(previousEntries.size() - 1).index() + 1;
    boolean contiguous = name.firstIndex() == expectedIndex;
    for (LogEntry entry : content.entries()) {
      contiguous &= entry.index() == expectedIndex;
      expectedIndex++;
    }
    if (!contiguous) {
      throw new CorruptFolderException(
          folder.path(name.fileName()), "its entries do not follow the previous segment");
    }
  }

  private void checkNoGapBeforeLog(List<SegmentName> names, long coveredIndex) {
    if (!names.isEmpty() && names.get(0).firstIndex() > coveredIndex + 1) {
      throw new CorruptFolderException(
          folder.path(), "log entries are missing before the first segment");
    }
  }

  private static boolean isSupersededBy(Snapshot snapshot, List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return false;
    }
    boolean endsBefore = entries.get(entries.size() - 1).index() < snapshot.index();
    return endsBefore
        || entries.stream()
            .anyMatch(
                entry -> entry.index() == snapshot.index() && entry.term() != snapshot.term());
  }
}
