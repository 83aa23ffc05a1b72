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
 * Runs a model on one thread: hands it events, wakes it when it wants to be woken, and passes on
 * what it does.
 *
 * @param <E> what happens to the model
 * @param <A> what it does
 */
final class ModelLoop<E, A> implements AutoCloseable {

  private static final long IDLE_CHECK_MS = 20;

  private final UpstreamModel<E, A> model;
  private final E tick;
  private final Consumer<A> onAction;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "model"));
  private final CompletableFuture<Void> failed = new CompletableFuture<>();
  private Future<?> wakeup = CompletableFuture.completedFuture(null);
  private long wakeupNs = Long.MAX_VALUE;

  ModelLoop(UpstreamModel<E, A> model, E tick, Consumer<A> onAction) {
    this.model = model;
    this.tick = tick;
    this.onAction = onAction;
  }

  /** Hands an event to the model; the future holds what the model did at once. */
  CompletableFuture<List<A>> handle(E event) {
    CompletableFuture<List<A>> done = new CompletableFuture<>();
    run(() -> done.complete(step(event)));
    return done;
  }

  /** Runs a task on the model's thread; a fault in it ends the program. */
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

  /** Completes once a time has passed and a condition holds, looked at on the model's thread. */
  CompletableFuture<Void> when(BooleanSupplier condition, long notBeforeMs) {
    CompletableFuture<Void> met = new CompletableFuture<>();
    thread.schedule(() -> check(condition, met), notBeforeMs, TimeUnit.MILLISECONDS);
    return met;
  }

  /** Fails with the fault that stopped the model; never completes otherwise. */
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

  private void check(BooleanSupplier condition, CompletableFuture<Void> met) {
    if (condition.getAsBoolean()) {
      met.complete(null);
    } else {
      thread.schedule(() -> check(condition, met), IDLE_CHECK_MS, TimeUnit.MILLISECONDS);
    }
  }
}
