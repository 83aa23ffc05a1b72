package org.teaseltrail.control;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.ControlMember;
import org.teaseltrail.runtime.clock.SuspendAwareClock;

/**
 * Runs the event loop of a control member: a single thread passes events and ticks to the member
 * and forwards the resulting actions in order.
 */
final class ControlEventLoop {

  private static final long MAX_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final EventQueue queue = new EventQueue();
  private final SuspendAwareClock clock;
  private final SlowOperationLogger slow;
  private final Thread thread = new Thread(this::run, "control");
  private ControlMember member;
  private Consumer<ControlAction> actions;
  private Runnable afterEvents;
  private Consumer<Throwable> failed;
  private volatile boolean stopping;

  ControlEventLoop(SuspendAwareClock clock, SlowOperationLogger slow) {
    this.clock = clock;
    this.slow = slow;
  }

  /** Queues an event. May be called by any thread, and before the loop is started. */
  void post(ControlEvent event) {
    queue.add(event);
  }

  int queuedEvents() {
    return queue.size();
  }

  void start(
      ControlMember controlMember,
      Consumer<ControlAction> actionHandler,
      Runnable afterEachEvent,
      Consumer<Throwable> failureHandler) {
    member = controlMember;
    actions = actionHandler;
    afterEvents = afterEachEvent;
    failed = failureHandler;
    thread.start();
  }

  void stop() {
    stopping = true;
    try {
      thread.join(STOP_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!stopping) {
        takeEvent();
        tickIfDue();
        afterEvents.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      // An invariant is violated and the state may be inconsistent, so the process must exit.
      failed.accept(e);
    }
  }

  /**
   * Processes at most one event, so that timers and prioritized events wait for no more than one.
   */
  private void takeEvent() throws InterruptedException {
    ControlEvent event = queue.poll(waitNs());
    if (event != null) {
      handle(event);
    }
  }

  private long waitNs() {
    OptionalLong wakeup = member.nextWakeupNs();
    if (wakeup.isEmpty()) {
      return MAX_WAIT_NS;
    }
    return Math.max(0, Math.min(MAX_WAIT_NS, wakeup.getAsLong() - clock.nowNs()));
  }

  private void tickIfDue() {
    OptionalLong wakeup = member.nextWakeupNs();
    if (wakeup.isPresent() && wakeup.getAsLong() <= clock.nowNs()) {
      handle(new ControlEvent.Tick());
    }
  }

  private void handle(ControlEvent event) {
    long startNs = System.nanoTime();
    member.handle(event, clock.nowNs()).forEach(actions);
    slow.step(event, System.nanoTime() - startNs);
  }
}
