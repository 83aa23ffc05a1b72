package org.teaseltrail.entry;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.EntryNode;
import org.teaseltrail.core.entry.EntryStatus;
import org.teaseltrail.runtime.log.PartLogger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Owns the node and the one thread that may use it. */
final class NodeLoop implements AutoCloseable {

  private static final PartLogger LOGGER = new PartLogger("entry");

  private final Scheduler thread = Schedulers.newSingle("entry-node", true);
  private final long originNs = System.nanoTime();
  private final EntryNode node;
  private Consumer<EntryAction> executor = action -> {};
  private volatile EntryStatus status;
  private volatile boolean closed;
  private Disposable wakeup;
  private long wakeupNs = Long.MAX_VALUE;

  NodeLoop(EntryNode node) {
    this.node = node;
    this.status = node.status();
  }

  /** Sets who carries the actions out; before the first event. */
  void onActions(Consumer<EntryAction> carriesOut) {
    executor = carriesOut;
  }

  /** Passes an event to the node. */
  void submit(EntryEvent event) {
    run(() -> handle(event));
  }

  /** Runs a task on the node's thread. */
  void run(Runnable task) {
    if (!closed) {
      thread.schedule(() -> guarded(task));
    }
  }

  /** Runs a task on the node's thread after a delay. */
  void later(Runnable task, long delayMs) {
    if (!closed) {
      thread.schedule(() -> guarded(task), delayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Asks the node something, on its thread. */
  <T> Mono<T> ask(Callable<T> question) {
    return Mono.fromCallable(question).subscribeOn(thread);
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      LOGGER.error("A decision failed.", fault);
    }
  }

  /** Handles an event; on the node's thread only. */
  void handle(EntryEvent event) {
    List<EntryAction> actions = node.handle(event, nowNs());
    actions.forEach(executor);
    planWakeup();
  }

  private void planWakeup() {
    OptionalLong next = node.nextWakeupNs();
    if (next.isEmpty() || next.getAsLong() == wakeupNs) {
      return;
    }
    if (wakeup != null) {
      wakeup.dispose();
    }
    wakeupNs = next.getAsLong();
    wakeup =
        thread.schedule(
            () -> guarded(this::wakeUp), Math.max(0, wakeupNs - nowNs()), TimeUnit.NANOSECONDS);
  }

  private void wakeUp() {
    wakeupNs = Long.MAX_VALUE;
    handle(new EntryEvent.Tick());
    status = node.status();
  }

  /** Returns what the node held at its last tick; hellos make one twice a second. */
  EntryStatus status() {
    return status;
  }

  /** Returns the time on the node's clock. */
  long nowNs() {
    return System.nanoTime() - originNs;
  }

  EntryNode node() {
    return node;
  }

  @Override
  public void close() {
    closed = true;
    thread.dispose();
  }
}
