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

  @TempDir private Path temporary;

  @Test
  void keepsAllKindsOfWritesOnRealFiles() {
    NioFileSystem files = new NioFileSystem();
    FolderScript script = FolderScript.ofAllKinds();
    StorageFolder.createGroup(files, temporary, FolderScript.IDENTITY);
    try (StorageFolder folder = open(files, temporary)) {
      script.writes().forEach(folder::write);
      assertThat(folder.sync()).isEqualTo(script.writes().size());
    }
    try (StorageFolder folder = open(files, temporary)) {
      assertThat(folder.identity()).isEqualTo(FolderScript.IDENTITY);
      assertThat(folder.recovered()).isEqualTo(script.stateAfter(script.writes().size()));
    }
  }

  @Test
  void startsNoGroupByItself() {
    Path missing = temporary.resolve("missing");
    NioFileSystem files = new NioFileSystem();
    assertThatThrownBy(() -> open(files, temporary)).isInstanceOf(FolderMissingException.class);
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
   * Story: an operator starts a group on a VM that has a member already, or points the process at
   * another group's folder. The member's state would be overwritten or mixed with the other's.
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
   * Story: a second process is started on the same folder, by a supervisor that thinks the first
   * one dead. Both would append to one log.
   */
  @Test
  void refusesTwoAtOnce() {
    NioFileSystem files = new NioFileSystem();
    StorageFolder.createGroup(files, temporary, FolderScript.IDENTITY);
    try (StorageFolder folder = open(files, temporary)) {
      assertThat(folder.recovered().entries()).hasSize(1);
      assertThatThrownBy(() -> open(files, temporary)).isInstanceOf(FolderInUseException.class);
    }
    open(files, temporary).close();
  }

  /**
   * Story: a sector goes bad under entries that were acknowledged long ago, and the process starts
   * again. Were the log cut there as after a torn write, accepted changes would be gone silently.
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
   * Story: the disk runs full in the middle of an append. The member must say so, take nothing
   * more, and find all that it had acknowledged once there is room again.
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
   * Shows that the fake disk does lose what isn't synced, so that its other tests mean something.
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
