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
   * Reads the log from the end of the newest snapshot on and opens it for appending. Older segments
   * are deleted unread, so that memory is needed for one segment and the entries since the snapshot
   * only.
   *
   * @param snapshot the newest snapshot
   * @return the entries from the last one that the snapshot covers on; empty if the snapshot
   *     supersedes the log
   * @throws CorruptFolderException if synced data is missing or can't be read
   */
  List<LogEntry> recover(Optional<Snapshot> snapshot) {
    long coveredIndex = snapshot.map(Snapshot::index).orElse(0L);
    List<SegmentName> names = deleteCoveredSegments(coveredIndex);
    List<LogEntry> entries = new ArrayList<>();
    for (SegmentName name : names) {
      deleteRemnantsBefore(name, coveredIndex);
      boolean isLast = name.equals(names.get(names.size() - 1));
      SegmentContent content = SegmentContent.read(folder, name, isLast);
      checkContiguous(name, content);
      segments.add(LogSegment.open(folder, name, content));
      content.entries().stream().filter(e -> e.index() >= coveredIndex).forEach(entries::add);
    }
    checkNoGapBeforeLog(coveredIndex);
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
      delete(segments.remove(0));
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
    delete(segments.remove(segments.size() - 1));
  }

  /**
   * Deletes a segment durably, so that of several deletions none becomes durable before an earlier
   * one.
   */
  private void delete(LogSegment segment) {
    segment.close();
    folder.delete(segment.name().fileName());
    folder.sync();
  }

  /**
   * Deletes the segments before the one that holds the last entry that a snapshot covers.
   *
   * @return the remaining ones, oldest first
   */
  private List<SegmentName> deleteCoveredSegments(long coveredIndex) {
    List<SegmentName> names =
        new ArrayList<>(
            folder.list().stream()
                .filter(SegmentName::isSegmentName)
                .map(SegmentName::parse)
                .toList());
    while (names.size() > 1 && names.get(1).firstIndex() <= coveredIndex) {
      folder.delete(names.remove(0).fileName());
      folder.sync();
    }
    return names;
  }

  /**
   * Deletes the segments read so far if a gap separates them from the next one and a snapshot
   * covers the gap: they had been deleted, and a power loss undid only some of the deletions.
   */
  private void deleteRemnantsBefore(SegmentName next, long coveredIndex) {
    boolean isGap = !segments.isEmpty() && lastSegment().lastIndex() + 1 < next.firstIndex();
    if (isGap && next.firstIndex() <= coveredIndex + 1) {
      deleteAllSegments();
    }
  }

  private void checkContiguous(SegmentName name, SegmentContent content) {
    long expectedIndex = segments.isEmpty() ? name.firstIndex() : lastSegment().lastIndex() + 1;
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

  private void checkNoGapBeforeLog(long coveredIndex) {
    if (!segments.isEmpty() && segments.get(0).name().firstIndex() > coveredIndex + 1) {
      throw new CorruptFolderException(
          folder.path(), "log entries are missing before the first segment");
    }
  }

  private boolean isSupersededBy(Snapshot snapshot, List<LogEntry> entries) {
    boolean endsBefore = !segments.isEmpty() && lastSegment().lastIndex() < snapshot.index();
    return endsBefore
        || entries.stream()
            .anyMatch(
                entry -> entry.index() == snapshot.index() && entry.term() != snapshot.term());
  }
}
