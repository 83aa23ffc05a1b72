package org.teaseltrail.standin;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.teaseltrail.standin.model.UpstreamModel;

/**
 * Event loop that runs a model on one thread: it passes events to the model, sends it a tick at
 * each requested wakeup time, and forwards its actions.
 *
 * @param <E> type of the model's events
 * @param <A> type of the model's actions
 */
final class ModelEventLoop<E, A> implements AutoCloseable {

  private static final long CONDITION_CHECK_INTERVAL_MS = 20;

  private final UpstreamModel<E, A> model;
  private final E tick;
  private final Consumer<A> onAction;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "model"));
  private final CompletableFuture<Void> failed = new CompletableFuture<>();
  private Future<?> wakeup = CompletableFuture.completedFuture(null);
  private long wakeupNs = Long.MAX_VALUE;

  ModelEventLoop(UpstreamModel<E, A> model, E tick, Consumer<A> onAction) {
    this.model = model;
    this.tick = tick;
    this.onAction = onAction;
  }

  /** Passes an event to the model; the future holds the actions that the event caused. */
  CompletableFuture<List<A>> handle(E event) {
    CompletableFuture<List<A>> done = new CompletableFuture<>();
    run(() -> done.complete(step(event)));
    return done;
  }

  /** Runs a task on the model's thread; an exception thrown by it ends the program. */
  void run(Runnable task) {
    thread.execute(
        () -> {
          try {
            task.run();
          } catch (RuntimeException failure) {
            failed.completeExceptionally(failure);
          }
        });
  }

  /**
   * Returns a future that completes once a delay has passed and a condition holds. The condition is
   * evaluated on the model's thread.
   */
  CompletableFuture<Void> awaitCondition(BooleanSupplier condition, long notBeforeMs) {
    CompletableFuture<Void> met = new CompletableFuture<>();
    thread.schedule(() -> checkCondition(condition, met), notBeforeMs, TimeUnit.MILLISECONDS);
    return met;
  }

  /** Fails with the first exception on the model's thread; never completes otherwise. */
  CompletableFuture<Void> failed() {
    return failed;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  private List<A> step(E event) {
    List<A> actions = model.handle(event, System.nanoTime());
    actions.forEach(onAction);
    scheduleWakeup();
    return actions;
  }

  private void scheduleWakeup() {
    OptionalLong next = model.nextWakeupNs();
    if (next.isEmpty() || next.getAsLong() == wakeupNs && !wakeup.isDone()) {
      return;
    }
    wakeup.cancel(false);
    wakeupNs = next.getAsLong();
    long delayNs = Math.max(0, wakeupNs - System.nanoTime());
    wakeup = thread.schedule(() -> run(this::wake), delayNs, TimeUnit.NANOSECONDS);
  }

  private void wake() {
    step(tick);
  }

  private void checkCondition(BooleanSupplier condition, CompletableFuture<Void> met) {
    if (condition.getAsBoolean()) {
      met.complete(null);
    } else {
      thread.schedule(
          () -> checkCondition(condition, met), CONDITION_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }
}
