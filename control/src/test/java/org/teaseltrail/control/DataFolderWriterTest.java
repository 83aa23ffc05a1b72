package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.LogEntry;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

@Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DataFolderWriterTest {

  private static final GroupId GROUP = new GroupId("test");

  @TempDir private Path folder;

  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();

  /** Guards against a member that acknowledges nothing any more, as its disk's thread has ended. */
  @Test
  void anyFailureOfTheThreadIsReported() throws Exception {
    FolderIdentity identity =
        FolderIdentity.create(GROUP, new VmId("control-1"), new Incarnation(1));
    ReplicaStorage.createMember(new NioFileSystem(), folder, identity);
    ReplicaStorage storage = ReplicaStorage.open(new NioFileSystem(), folder, GROUP);
    SlowOperationLogger slow = new SlowOperationLogger(Optional.empty());
    try (DataFolderWriter writes =
        new DataFolderWriter(storage, event -> {}, failures::add, slow)) {
      writes.start();
      LogEntry withoutPayload = new LogEntry(1, 1, null);
      writes.submit(new ReplicaAction.AppendToLog(1, List.of(withoutPayload)));
      writes.submit(new ReplicaAction.AppendToLog(2, null));

      assertThat(failures.take()).isInstanceOf(NullPointerException.class);
    }
  }
}
