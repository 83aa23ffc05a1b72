package org.teaseltrail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.Snapshot;

/** Is the log on disk: segments that follow one another, the last of which grows. */
final class SegmentedLog implements AutoCloseable {

  private final DataFolder folder;
  private final long segmentBytes;
  private final List<LogSegment> segments = new ArrayList<>();

  SegmentedLog(DataFolder folder, long segmentBytes) {
    this.folder = folder;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Reads all segments and makes the log ready for appending.
   *
   * @param snapshot the newest snapshot
   * @return the entries that count
   * @throws DamagedFolderException if something that was synced is missing or can't be read
   */
  List<LogEntry> recover(Optional<Snapshot> snapshot) {
    List<SegmentName> names =
        folder.list().stream().filter(SegmentName::isOne).map(SegmentName::parse).toList();
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 0; i < names.size(); i++) {
      SegmentName name = names.get(i);
      SegmentContent content = SegmentContent.read(folder, name, i == names.size() - 1);
      checkFollows(name, content, entries);
      entries.addAll(content.entries());
      segments.add(LogSegment.open(folder, name, content));
    }
    long coveredIndex = snapshot.map(Snapshot::index).orElse(0L);
    checkStart(names, coveredIndex);
    if (snapshot.isPresent() && isReplacedBy(snapshot.get(), entries)) {
      discard();
      return List.of();
    }
    return entries;
  }

  void append(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      if (segments.isEmpty() || last().sizeBytes() >= segmentBytes) {
        sync();
        segments.add(LogSegment.create(folder, entry.index()));
      }
      last().append(entry);
    }
  }

  void truncateFrom(long index) {
    while (!segments.isEmpty() && last().name().firstIndex() >= index) {
      deleteLast();
    }
    if (!segments.isEmpty() && last().lastIndex() >= index) {
      last().truncateFrom(index);
    }
  }

  /** Deletes the segments that hold nothing after an index; a synced snapshot stands for them. */
  void dropThrough(long index) {
    while (segments.size() > 1 && segments.get(0).lastIndex() <= index) {
      LogSegment first = segments.remove(0);
      first.close();
      folder.delete(first.name().fileName());
    }
  }

  /**
   * Deletes all segments, the newest first: a crash in between leaves a log that ends early, and
   * not one that begins behind the snapshot, which would look like damage.
   */
  void discard() {
    while (!segments.isEmpty()) {
      deleteLast();
    }
  }

  void sync() {
    if (!segments.isEmpty()) {
      last().sync();
    }
  }

  @Override
  public void close() {
    segments.forEach(LogSegment::close);
  }

  private LogSegment last() {
    return segments.get(segments.size() - 1);
  }

  private void deleteLast() {
    LogSegment removed = segments.remove(segments.size() - 1);
    removed.close();
    folder.delete(removed.name().fileName());
    folder.sync();
  }

  private void checkFollows(SegmentName name, SegmentContent content, List<LogEntry> before) {
    long expectedIndex =
        before.isEmpty() ? name.firstIndex() : before.get(before.size() - 1).index() + 1;
    boolean follows = name.firstIndex() == expectedIndex;
    for (LogEntry entry : content.entries()) {
      follows &= entry.index() == expectedIndex;
      expectedIndex++;
    }
    if (!follows) {
      throw new DamagedFolderException(folder.path(name.fileName()), "doesn't follow");
    }
  }

  private void checkStart(List<SegmentName> names, long coveredIndex) {
    if (!names.isEmpty() && names.get(0).firstIndex() > coveredIndex + 1) {
      throw new DamagedFolderException(folder.path(), "entries are missing before the log");
    }
  }

  private static boolean isReplacedBy(Snapshot snapshot, List<LogEntry> entries) {
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
