package org.teaseltrail.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.RecoveredState;

class StorageFolderTest {

  private static final Path PATH = Path.of("data");
  private static final String FIRST_SEGMENT = "log-00000000000000000001";

  @TempDir private Path temporaryFolder;

  @Test
  void keepsAllKindsOfWritesOnRealFiles() {
    NioFileSystem files = new NioFileSystem();
    FolderScript script = FolderScript.ofAllKinds();
    StorageFolder.createGroup(files, temporaryFolder, FolderScript.IDENTITY);
    try (StorageFolder folder = open(files, temporaryFolder)) {
      script.writes().forEach(folder::write);
      assertThat(folder.sync()).isEqualTo(script.writes().size());
    }
    try (StorageFolder folder = open(files, temporaryFolder)) {
      assertThat(folder.identity()).isEqualTo(FolderScript.IDENTITY);
      assertThat(folder.recovered()).isEqualTo(script.stateAfter(script.writes().size()));
    }
  }

  @Test
  void startsNoGroupByItself() {
    Path missing = temporaryFolder.resolve("missing");
    NioFileSystem files = new NioFileSystem();
    assertThatThrownBy(() -> open(files, temporaryFolder))
        .isInstanceOf(FolderMissingException.class);
    assertThatThrownBy(() -> open(files, missing)).isInstanceOf(FolderMissingException.class);
  }

  @Test
  void newMemberKnowsNothing() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createMember(files, PATH, FolderScript.IDENTITY);
    try (StorageFolder folder = open(files, PATH)) {
      assertThat(folder.recovered()).isEqualTo(RecoveredState.empty());
    }
  }

  /**
   * Guards against overwriting or mixing member state: an operator creates a group on a VM that
   * already has a member, or configures the folder of another group.
   */
  @Test
  void refusesFoldersOfOthers() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY);
    assertThatThrownBy(() -> StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY))
        .isInstanceOf(FolderExistsException.class);
    assertThatThrownBy(() -> StorageFolder.open(files, PATH, new GroupId("other")))
        .isInstanceOf(ForeignFolderException.class);
  }

  /**
   * Guards against two processes appending to one log: a supervisor wrongly considers the first
   * process dead and starts a second one on the same folder.
   */
  @Test
  void refusesTwoAtOnce() {
    NioFileSystem files = new NioFileSystem();
    StorageFolder.createGroup(files, temporaryFolder, FolderScript.IDENTITY);
    try (StorageFolder folder = open(files, temporaryFolder)) {
      assertThat(folder.recovered().entries()).hasSize(1);
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
  void refusesDamageBeforeTheTail() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY);
    FolderScript script = new FolderScript().append(1, 3).append(1, 3);
    try (StorageFolder folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
      folder.write(script.writes().get(1));
      folder.sync();
    }
    files.damage(FIRST_SEGMENT, LogRecord.HEADER_BYTES + 2);
    assertThatThrownBy(() -> open(files, PATH)).isInstanceOf(DamagedFolderException.class);
  }

  @Test
  void refusesDamagedVote() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY);
    files.damage("vote", files.content("vote").length - 1);
    assertThatThrownBy(() -> open(files, PATH)).isInstanceOf(DamagedFolderException.class);
  }

  /**
   * Guards against losing acknowledged entries when the disk fills up during an append. The folder
   * must report the error, reject further writes and recover all synced writes once there is space.
   */
  @Test
  void losesNothingOnFullDisk() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY);
    FolderScript script = new FolderScript().append(1, 3).append(1, 3);
    try (StorageFolder folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
      files.leaveFreeBytes(20);
      folder.write(script.writes().get(1));
      assertThatThrownBy(folder::sync).isInstanceOf(DiskFullException.class);
      assertThatThrownBy(folder::sync).isInstanceOf(FolderFailedException.class);
    }
    try (StorageFolder folder = open(files, PATH)) {
      assertThat(folder.recovered()).isEqualTo(script.stateAfter(1));
    }
  }

  /**
   * Verifies that the fake file system loses unsynced data; otherwise the other tests prove
   * nothing.
   */
  @Test
  void fakeDiskLosesWhatIsNotSynced() {
    FakeFileSystem files = new FakeFileSystem();
    StorageFolder.createGroup(files, PATH, FolderScript.IDENTITY);
    FolderScript script = new FolderScript().append(1, 3);
    files.syncNothing();
    try (StorageFolder folder = open(files, PATH)) {
      folder.write(script.writes().get(0));
      folder.sync();
    }
    files.losePower(new SplittableRandom(1));
    try (StorageFolder folder = open(files, PATH)) {
      assertThat(folder.recovered()).isNotEqualTo(script.stateAfter(1));
    }
  }

  private static StorageFolder open(FileSystemAccess files, Path path) {
    return StorageFolder.open(files, path, FolderScript.GROUP, 200);
  }
}
