package org.teaseltrail.entry;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.EntryNode;
import org.teaseltrail.core.entry.EntryStatus;
import org.teaseltrail.runtime.log.ComponentLogger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** The event loop that owns the node and the only thread that may use it. */
final class NodeEventLoop implements AutoCloseable {

  private static final ComponentLogger LOGGER = new ComponentLogger("entry");

  private final Scheduler thread = Schedulers.newSingle("entry-node", true);
  private final long startNs = System.nanoTime();
  private final EntryNode node;
  private Consumer<EntryAction> executor = action -> {};
  private volatile EntryStatus status;
  private final CompletableFuture<Throwable> failure = new CompletableFuture<>();
  private volatile boolean closed;
  private Disposable wakeup;
  private long wakeupNs = Long.MAX_VALUE;

  NodeEventLoop(EntryNode node) {
    this.node = node;
    this.status = node.status();
  }

  /** Sets the executor of the node's actions. Must be called before the first event. */
  void setActionExecutor(Consumer<EntryAction> actionExecutor) {
    executor = actionExecutor;
  }

  /**
   * Returns a future that completes, on the node thread, with an exception out of the node's
   * decisions. Its state may be inconsistent then, and it decides on nothing more.
   */
  CompletableFuture<Throwable> failure() {
    return failure;
  }

  /** Returns whether new requests are accepted. Must be called on the node thread. */
  boolean isReady() {
    return !failure.isDone() && node.isReady(nowNs());
  }

  /** Submits an event to the node. */
  void submit(EntryEvent event) {
    run(() -> handle(event));
  }

  /** Runs a task on the node thread. */
  void run(Runnable task) {
    if (!closed) {
      thread.schedule(() -> runLoggingErrors(task));
    }
  }

  /** Runs a task on the node thread after a delay. */
  void scheduleAfter(Runnable task, long delayMs) {
    if (!closed) {
      thread.schedule(() -> runLoggingErrors(task), delayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Evaluates a query on the node thread. */
  <T> Mono<T> query(Callable<T> callable) {
    return Mono.fromCallable(callable).subscribeOn(thread);
  }

  private void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error fault) {
      LOGGER.error("A task on the node thread failed.", fault);
    }
  }

  /** Handles an event and executes the resulting actions. Must be called on the node thread. */
  void handle(EntryEvent event) {
    if (failure.isDone()) {
      return;
    }
    try {
      List<EntryAction> actions = node.handle(event, nowNs());
      actions.forEach(action -> runLoggingErrors(() -> executor.accept(action)));
      scheduleWakeup();
    } catch (RuntimeException | Error e) {
      failure.complete(e);
    }
  }

  private void scheduleWakeup() {
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
            () -> runLoggingErrors(this::onWakeup),
            Math.max(0, wakeupNs - nowNs()),
            TimeUnit.NANOSECONDS);
  }

  private void onWakeup() {
    wakeupNs = Long.MAX_VALUE;
    handle(new EntryEvent.Tick());
    status = node.status();
  }

  /**
   * Returns the node's status at its last tick. Sending Hello messages causes a tick twice a
   * second.
   */
  EntryStatus status() {
    return status;
  }

  /** Returns the current time of the node's clock. */
  long nowNs() {
    return System.nanoTime() - startNs;
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
