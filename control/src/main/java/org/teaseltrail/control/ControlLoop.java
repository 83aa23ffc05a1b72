package org.teaseltrail.control;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.ControlMember;
import org.teaseltrail.runtime.clock.SuspendAwareClock;

/** Owns the member: one thread feeds it events and ticks, and passes its actions on in order. */
final class ControlLoop {

  private static final long MAX_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long END_MS = 2_000;

  private final EventQueue queue = new EventQueue();
  private final SuspendAwareClock clock;
  private final SlowLog slow;
  private final Thread thread = new Thread(this::run, "control");
  private ControlMember member;
  private Consumer<ControlAction> actions;
  private Runnable afterEvents;
  private Consumer<Throwable> failed;
  private volatile boolean ending;

  ControlLoop(SuspendAwareClock clock, SlowLog slow) {
    this.clock = clock;
    this.slow = slow;
  }

  /** Queues an event. May be called by any thread, before the start too. */
  void post(ControlEvent event) {
    queue.add(event);
  }

  int queued() {
    return queue.size();
  }

  void start(
      ControlMember owned,
      Consumer<ControlAction> carryOut,
      Runnable afterEachEvent,
      Consumer<Throwable> whenFailed) {
    member = owned;
    actions = carryOut;
    afterEvents = afterEachEvent;
    failed = whenFailed;
    thread.start();
  }

  void stop() {
    ending = true;
    try {
      thread.join(END_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!ending) {
        takeEvent();
        tickIfDue();
        afterEvents.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      // A broken invariant: the state can't be trusted any longer, so the process must end.
      failed.accept(e);
    }
  }

  /** Takes one event, so that neither timers nor what is urgent wait for more than that. */
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
    long beganNs = System.nanoTime();
    member.handle(event, clock.nowNs()).forEach(actions);
    slow.step(event, System.nanoTime() - beganNs);
  }
}
