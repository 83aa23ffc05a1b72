package org.teaseltrail.bench.control;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.storage.NioFileSystem;
import org.teaseltrail.storage.ReplicaStorage;

/**
 * Measures the time from opening a data folder until its only member becomes leader, by the number
 * of changes in the log.
 */
final class RestartBench {

  private static final int[] CHANGES = {100, 1_000, 5_000, 20_000};
  private static final long POLL_NS = 1_000_000L;

  private RestartBench() {}

  static void run(Path folder, PrintStream out) throws IOException {
    out.println("changes,restart_ms,revision");
    for (int changes : CHANGES) {
      Path path = Files.createDirectories(folder.resolve("restart-" + changes));
      ReplicaStorage.createGroup(new NioFileSystem(), path, BenchNode.identity("vm-1"));
      fill(path, changes);
      restart(path);
      long beginNs = System.nanoTime();
      long revision = restart(path);
      out.printf("%d,%.0f,%d%n", changes, (System.nanoTime() - beginNs) / 1e6, revision);
    }
  }

  private static void fill(Path path, int changes) {
    Semaphore done = new Semaphore(0);
    try (BenchNode node = node(path, done)) {
      propose(
          node,
          new Command.ChangeConfiguration(
              new ChangeId("fill"), Optional.empty(), SampleStateFactory.parts(50, 14), 0));
      for (int i = 1; i < changes; i++) {
        propose(node, SampleStateFactory.change(i));
      }
      done.acquireUninterruptibly(changes);
    }
  }

  private static long restart(Path path) {
    try (BenchNode node = node(path, new Semaphore(0))) {
      return node.state().configuration().revision().value();
    }
  }

  private static BenchNode node(Path path, Semaphore done) {
    BenchNode node = new BenchNode(path, new ConcurrentHashMap<>(), id -> done.release());
    node.start();
    while (!node.isLeading()) {
      LockSupport.parkNanos(POLL_NS);
    }
    return node;
  }

  private static void propose(BenchNode node, Command command) {
    node.post(new ReplicaEvent.Propose(1, node.codec().encodeCommand(command)));
  }
}
