package org.teaseltrail.storage;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.replication.Snapshot;

/** Stores the newest snapshot on disk. */
final class SnapshotStore {

  private static final String PREFIX = "snapshot-";

  private final DataFolder folder;
  private final ChecksummedFile<Snapshot> files;

  SnapshotStore(DataFolder folder) {
    this.folder = folder;
    this.files = new ChecksummedFile<>(folder, new SnapshotCodec());
  }

  /** Saves and syncs a snapshot, then deletes older ones. */
  void save(Snapshot snapshot) {
    String name = PREFIX + String.format("%020d", snapshot.index());
    files.save(name, snapshot);
    names().stream().filter(other -> !other.equals(name)).forEach(folder::delete);
  }

  Optional<Snapshot> load() {
    List<String> names = names();
    return names.isEmpty()
        ? Optional.empty()
        : Optional.of(files.load(names.get(names.size() - 1)));
  }

  private List<String> names() {
    return folder.list().stream()
        .filter(name -> name.startsWith(PREFIX))
        .filter(name -> !name.endsWith(DataFolder.TEMPORARY_SUFFIX))
        .toList();
  }
}
