package org.teaseltrail.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;

class ReplicaStorageTest {

  private static final Path PATH = Path.of("data");
  private static final String FIRST_SEGMENT = "log-00000000000000000001";

  @TempDir private Path temporaryFolder;

  @Test
  void recoversAllWriteTypesFromRealFiles() {
    NioFileSystem files = new NioFileSystem();
    WriteSequence script = WriteSequence.ofAllWriteTypes();
    ReplicaStorage.createGroup(files, temporaryFolder, WriteSequence.IDENTITY);
    try (ReplicaStorage folder = open(files, temporaryFolder)) {
      script.writes().forEach(folder::write);
      assertThat(folder.sync()).isEqualTo(script.writes().size());
    }
    try (ReplicaStorage folder = open(files, temporaryFolder)) {
      assertThat(folder.identity()).isEqualTo(WriteSequence.IDENTITY);
      assertThat(folder.takeRecoveredState()).isEqualTo(script.stateAfter(script.writes().size()));
    }
  }

  @Test
  void neverCreatesGroupImplicitly() {
    Path missing = temporaryFolder.resolve("missing");
    NioFileSystem files = new NioFileSystem();
    assertThatThrownBy(() -> open(files, temporaryFolder))
        .isInstanceOf(FolderMissingException.class);
    assertThatThrownBy(() -> open(files, missing)).isInstanceOf(FolderMissingException.class);
  }

  @Test
  void newMemberStartsWithEmptyState() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createMember(files, PATH, WriteSequence.IDENTITY);
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState()).isEqualTo(RecoveredState.empty());
    }
  }

  /** Guards against a member that holds for its whole life what it read when it started. */
  @Test
  void givesRecoveredStateAwayOnce() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState().entries()).hasSize(1);
      assertThatThrownBy(folder::takeRecoveredState).isInstanceOf(IllegalStateException.class);
    }
  }

  /**
   * Guards against a change of the format of segments: members read folders of earlier versions.
   */
  @Test
  void formatOfSegmentStays() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createMember(files, PATH, WriteSequence.IDENTITY);
    byte[] command = {7, 8, 9};
    LogEntry entry = new LogEntry(1, 2, new EntryPayload.CommandPayload(command));
    try (ReplicaStorage folder = open(files, PATH)) {
      folder.write(new ReplicaAction.AppendToLog(1, List.of(entry)));
      folder.sync();
    }
    assertThat(HexFormat.of().formatHex(files.content(FIRST_SEGMENT)))
        .isEqualTo("54544c31000000087eb821220000000000000000010201c403070809");
  }

  /**
   * Guards against overwriting or mixing member state: an operator creates a group on a VM that
   * already has a member, or configures the folder of another group.
   */
  @Test
  void refusesFolderOfExistingMemberOrOtherGroup() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    assertThatThrownBy(() -> ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY))
        .isInstanceOf(FolderExistsException.class);
    assertThatThrownBy(() -> ReplicaStorage.open(files, PATH, new GroupId("other")))
        .isInstanceOf(FolderOwnerMismatchException.class);
  }

  /**
   * Guards against two processes appending to one log: a supervisor wrongly considers the first
   * process dead and starts a second one on the same folder.
   */
  @Test
  void refusesSecondOpenOfSameFolder() {
    NioFileSystem files = new NioFileSystem();
    ReplicaStorage.createGroup(files, temporaryFolder, WriteSequence.IDENTITY);
    try (ReplicaStorage folder = open(files, temporaryFolder)) {
      assertThat(folder.takeRecoveredState().entries()).hasSize(1);
      assertThatThrownBy(() -> open(files, temporaryFolder))
          .isInstanceOf(FolderInUseException.class);
    }
    open(files, temporaryFolder).close();
  }

  /**
   * Guards against silent loss of acknowledged entries: a sector under synced entries goes bad, and
   * after a restart the log is truncated there as if after a torn write.
   */
  @Test
  void refusesCorruptionOfSyncedEntries() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = new WriteSequence().append(1, 3).append(1, 3);
    try (ReplicaStorage folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
      folder.write(script.writes().get(1));
      folder.sync();
    }
    files.corrupt(FIRST_SEGMENT, LogRecord.HEADER_BYTES + 2);
    assertThatThrownBy(() -> open(files, PATH)).isInstanceOf(CorruptFolderException.class);
  }

  @Test
  void refusesCorruptVoteFile() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    files.corrupt("vote", files.content("vote").length - 1);
    assertThatThrownBy(() -> open(files, PATH)).isInstanceOf(CorruptFolderException.class);
  }

  /**
   * Guards against losing acknowledged entries when the disk fills up during an append. The folder
   * must report the error, reject further writes and recover all synced writes once there is space.
   */
  @Test
  void keepsSyncedWritesWhenDiskIsFull() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = new WriteSequence().append(1, 3).append(1, 3);
    try (ReplicaStorage folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
      files.limitFreeBytes(20);
      folder.write(script.writes().get(1));
      assertThatThrownBy(folder::sync).isInstanceOf(DiskFullException.class);
      assertThatThrownBy(folder::sync).isInstanceOf(StorageFailedException.class);
    }
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState()).isEqualTo(script.stateAfter(1));
    }
  }

  /**
   * Verifies that the fake file system loses unsynced data; otherwise the other tests prove
   * nothing.
   */
  @Test
  void fakeFileSystemLosesUnsyncedWrites() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = new WriteSequence().append(1, 3);
    files.ignoreSyncs();
    try (ReplicaStorage folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
    }
    files.losePower(new SplittableRandom(1));
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState()).isNotEqualTo(script.stateAfter(1));
    }
  }

  /**
   * Guards against a member that can't start, because removals of segments that a snapshot covers
   * were not durable and a power loss undid only the removal of the oldest.
   */
  @Test
  void opensFolderInWhichOldestRemovedSegmentIsBack() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = eightAppends();
    try (ReplicaStorage folder = open(files, PATH)) {
      script.writes().forEach(folder::write);
      folder.sync();
    }
    byte[] oldest = files.content(FIRST_SEGMENT);
    int segments = files.list(PATH).size();
    WriteSequence snapshot = new WriteSequence(script.stateAfter(8)).snapshot(30, 1, 30, false);
    try (ReplicaStorage folder = open(files, PATH)) {
      folder.write(snapshot.writes().get(0));
      folder.sync();
    }
    assertThat(files.list(PATH)).hasSizeLessThan(segments - 1);
    files.restore(FIRST_SEGMENT, oldest);
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState()).isEqualTo(snapshot.stateAfter(1));
    }
    assertThat(files.list(PATH)).doesNotContain(FIRST_SEGMENT);
  }

  /** Guards against a start that reads the whole log into memory although a snapshot covers it. */
  @Test
  void readsNoSegmentThatSnapshotCovers() {
    FakeFileSystem files = new FakeFileSystem();
    ReplicaStorage.createGroup(files, PATH, WriteSequence.IDENTITY);
    WriteSequence script = eightAppends();
    script.snapshot(30, 1, 0, false);
    try (ReplicaStorage folder = open(files, PATH)) {
      script.writes().forEach(folder::write);
      folder.sync();
    }
    files.forgetReads();
    try (ReplicaStorage folder = open(files, PATH)) {
      assertThat(folder.takeRecoveredState()).isEqualTo(script.stateAfter(9));
    }
    assertThat(files.readNames()).filteredOn(SegmentName::isSegmentName).hasSizeLessThan(3);
  }

  /** Returns writes that fill several segments. */
  private static WriteSequence eightAppends() {
    WriteSequence script = new WriteSequence();
    for (int i = 0; i < 8; i++) {
      script.append(1, 4);
    }
    return script;
  }

  private static ReplicaStorage open(FileSystemAccess files, Path path) {
    return ReplicaStorage.open(files, path, WriteSequence.GROUP, 200);
  }
}
