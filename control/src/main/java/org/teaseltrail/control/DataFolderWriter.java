package org.teaseltrail.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.storage.ReplicaStorage;

/**
 * Writes to the data folder on a dedicated thread, so that a slow sync never blocks the event loop.
 * Uses group commit: writes that are queued during one sync share the next one.
 */
final class DataFolderWriter implements AutoCloseable {

  private static final long POLL_MS = 100;
  private static final long CLOSE_TIMEOUT_MS = 5_000;

  private final BlockingQueue<ReplicaAction.Write> queue = new LinkedBlockingQueue<>();
  private final ReplicaStorage folder;
  private final Consumer<ControlEvent> events;
  private final Consumer<Throwable> failed;
  private final SlowOperationLogger slow;
  private final Thread thread = new Thread(this::run, "writes");
  private volatile boolean closing;

  DataFolderWriter(
      ReplicaStorage folder,
      Consumer<ControlEvent> events,
      Consumer<Throwable> failed,
      SlowOperationLogger slow) {
    this.slow = slow;
    this.folder = folder;
    this.events = events;
    this.failed = failed;
  }

  void start() {
    thread.start();
  }

  void submit(ReplicaAction.Write write) {
    queue.add(write);
  }

  /** Completes the submitted writes, then stops the thread and closes the data folder. */
  @Override
  public void close() {
    closing = true;
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    folder.close();
  }

  private void run() {
    try {
      while (!closing || !queue.isEmpty()) {
        writeBatch();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      // Without this thread nothing is acknowledged any more, so the member must not go on.
      failed.accept(e);
    }
  }

  private void writeBatch() throws InterruptedException {
    ReplicaAction.Write first = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
    if (first == null) {
      return;
    }
    List<ReplicaAction.Write> batch = new ArrayList<>();
    batch.add(first);
    queue.drainTo(batch);
    long startNs = System.nanoTime();
    batch.forEach(folder::write);
    long writeNumber = folder.sync();
    slow.sync(System.nanoTime() - startNs);
    events.accept(new ControlEvent.Persisted(writeNumber));
  }
}
