package org.teaseltrail.bench.replica;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.core.replication.ReplicaSettings;
import org.teaseltrail.core.replication.Snapshot;
import org.teaseltrail.core.replication.SnapshotSettings;
import org.teaseltrail.storage.FolderIdentity;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

/**
 * Measures replication with real syncs and prints one line per result. The members share one
 * process and pass messages in memory, so the costs of the network and of codecs are not included.
 *
 * <p>Argument: a folder on the disk to be measured; the files written there are deleted.
 */
public final class ReplicaBench {

  private static final int COMMAND_BYTES = 200;
  private static final int SMALL_STATE_BYTES = 1_024;
  private static final List<Integer> WINDOWS = List.of(1, 4, 16, 64, 256, 1_024);
  private static final List<Integer> STATE_BYTES =
      List.of(64 * 1024, 1024 * 1024, 8 * 1024 * 1024, 32 * 1024 * 1024);
  private static final List<Integer> ENTRIES = List.of(1_000, 10_000, 100_000);
  private static final int MIN_COMMANDS = 500;
  private static final int MAX_COMMANDS = 40_000;

  private ReplicaBench() {}

  /**
   * Runs all measurements.
   *
   * @param args the folder
   * @throws IOException if the folder is not accessible
   * @throws InterruptedException if the run is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    Path root = Files.createTempDirectory(Path.of(args[0]), "replica-bench");
    try {
      appends(root);
      snapshots(root);
      catchUp(root);
    } finally {
      delete(root);
    }
  }

  private static void appends(Path root) throws InterruptedException {
    for (int window : WINDOWS) {
      Path path = root.resolve("append-" + window);
      try (BenchGroup group =
          new BenchGroup(path, ReplicaSettings.defaults(), SMALL_STATE_BYTES).growTo(3)) {
        new AppendWorkload(group.leader(), MIN_COMMANDS, COMMAND_BYTES).run(window);
        int commands = Math.min(MAX_COMMANDS, Math.max(MIN_COMMANDS, window * 200));
        AppendWorkload load = new AppendWorkload(group.leader(), commands, COMMAND_BYTES);
        long syncsBefore = group.leader().syncs();
        double seconds = load.run(window);
        long syncs = Math.max(1, group.leader().syncs() - syncsBefore);
        System.out.printf(
            "append window=%d per_second=%.0f p50_ms=%.2f p99_ms=%.2f entries_per_sync=%.1f%n",
            window,
            commands / seconds,
            load.latenciesNs().getValueAtPercentile(50) / 1e6,
            load.latenciesNs().getValueAtPercentile(99) / 1e6,
            (double) commands / syncs);
      }
    }
  }

  private static void snapshots(Path root) {
    NioFileSystem files = new NioFileSystem();
    GroupId group = new GroupId("bench");
    FolderIdentity identity = FolderIdentity.create(group, new VmId("c0"), new Incarnation(1));
    Membership members = Membership.of(identity.member());
    for (int stateBytes : STATE_BYTES) {
      Path path = root.resolve("snapshot-" + stateBytes);
      ReplicaStorage.createGroup(files, path, identity);
      Snapshot snapshot = new Snapshot(1, 0, members, new byte[stateBytes]);
      long startNs = System.nanoTime();
      try (ReplicaStorage folder = ReplicaStorage.open(files, path, group)) {
        folder.write(new ReplicaAction.SaveSnapshot(1, snapshot, 1, false));
      }
      long savedNs = System.nanoTime();
      try (ReplicaStorage folder = ReplicaStorage.open(files, path, group)) {
        Optional<Snapshot> loaded = folder.takeRecoveredState().snapshot();
        System.out.printf(
            "snapshot state_bytes=%d save_ms=%.1f load_ms=%.1f%n",
            loaded.orElseThrow().state().length,
            (savedNs - startNs) / 1e6,
            (System.nanoTime() - savedNs) / 1e6);
      }
    }
  }

  private static void catchUp(Path root) throws InterruptedException {
    SnapshotSettings usual = SnapshotSettings.defaults();
    ReplicaSettings withoutSnapshots =
        ReplicaSettings.defaults()
            .withSnapshots(
                new SnapshotSettings(
                    usual.chunkBytes(),
                    Integer.MAX_VALUE,
                    Integer.MAX_VALUE,
                    usual.retainedEntries()));
    for (int entries : ENTRIES) {
      Path path = root.resolve("catch-up-" + entries);
      try (BenchGroup group = new BenchGroup(path, withoutSnapshots, SMALL_STATE_BYTES)) {
        new AppendWorkload(group.leader(), entries, COMMAND_BYTES).run(1_024);
        long startNs = System.nanoTime();
        BenchMember learner = group.addLearner();
        BenchGroup.await(() -> learner.appliedIndex() >= group.leader().appliedIndex());
        System.out.printf(
            "catch_up entries=%d ms=%.0f%n", entries, (System.nanoTime() - startNs) / 1e6);
      }
      restart(path.resolve("0"), entries);
    }
  }

  private static void restart(Path path, int entries) {
    long startNs = System.nanoTime();
    try (ReplicaStorage folder =
        ReplicaStorage.open(new NioFileSystem(), path, new GroupId("bench"))) {
      RecoveredState recovered = folder.takeRecoveredState();
      System.out.printf(
          "reopen entries=%d read=%d ms=%.0f%n",
          entries, recovered.entries().size(), (System.nanoTime() - startNs) / 1e6);
    }
  }

  private static void delete(Path root) throws IOException {
    try (Stream<Path> paths = Files.walk(root)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
