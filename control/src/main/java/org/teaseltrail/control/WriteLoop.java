package org.teaseltrail.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.replication.ReplicaAction;
import org.teaseltrail.storage.StorageException;
import org.teaseltrail.storage.StorageFolder;

/**
 * Writes to the data folder on a thread of its own, so that a slow sync never holds the member up.
 * What has piled up during one sync goes into the next together.
 */
final class WriteLoop implements AutoCloseable {

  private static final long POLL_MS = 100;
  private static final long END_MS = 5_000;

  private final BlockingQueue<ReplicaAction.Write> queue = new LinkedBlockingQueue<>();
  private final StorageFolder folder;
  private final Consumer<ControlEvent> events;
  private final Consumer<StorageException> failed;
  private final SlowLog slow;
  private final Thread thread = new Thread(this::run, "writes");
  private volatile boolean ending;

  WriteLoop(
      StorageFolder folder,
      Consumer<ControlEvent> events,
      Consumer<StorageException> failed,
      SlowLog slow) {
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

  /** Carries out what was submitted, then ends. */
  @Override
  public void close() {
    ending = true;
    try {
      thread.join(END_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    folder.close();
  }

  private void run() {
    try {
      while (!ending || !queue.isEmpty()) {
        writeBatch();
      }
    } catch (StorageException e) {
      failed.accept(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
    long beganNs = System.nanoTime();
    batch.forEach(folder::write);
    long writeNumber = folder.sync();
    slow.sync(System.nanoTime() - beganNs);
    events.accept(new ControlEvent.Persisted(writeNumber));
  }
}
