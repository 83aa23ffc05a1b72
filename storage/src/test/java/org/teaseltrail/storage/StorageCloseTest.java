package org.teaseltrail.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StorageCloseTest {

  @TempDir private Path folder;

  private final FailingFileSystem files = new FailingFileSystem();

  @BeforeEach
  void createFolder() {
    ReplicaStorage.createGroup(files, folder, WriteSequence.IDENTITY);
  }

  /** Guards against a member that is never restarted, as its folder stays locked by itself. */
  @Test
  void folderCanBeOpenedAgainAfterItsFilesFailedToClose() {
    ReplicaStorage storage = open();
    files.failClose(true);

    assertThatCode(storage::close).doesNotThrowAnyException();

    files.failClose(false);
    open().close();
    assertThat(files.openFiles()).isZero();
  }

  /** Guards against a process that runs out of file descriptors while it waits for its disk. */
  @Test
  void attemptToOpenThatFailsLeavesNoFileOpen() {
    files.failTruncate(true);
    assertThatThrownBy(this::open).isInstanceOf(StorageIoException.class);
    assertThatThrownBy(this::open).isInstanceOf(StorageIoException.class);

    assertThat(files.openFiles()).isZero();
    files.failTruncate(false);
    open().close();
  }

  private ReplicaStorage open() {
    return ReplicaStorage.open(files, folder, WriteSequence.IDENTITY.group());
  }
}
