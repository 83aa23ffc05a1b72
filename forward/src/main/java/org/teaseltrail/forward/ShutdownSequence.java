package org.teaseltrail.forward;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.teaseltrail.core.forward.DrainSchedule;

/** Waits, from the termination signal on, until an entry VM's process may end. */
final class ShutdownSequence {

  private static final long NS_PER_MS = 1_000_000L;

  private static final long POLL_MS = 50;

  private final DrainSchedule schedule;
  private final long signalNs;
  private final EventLoop loop;
  private final BooleanSupplier isDrained;

  /**
   * Creates the sequence of one shutdown.
   *
   * @param schedule its times
   * @param signalNs when the signal came, by {@link System#nanoTime}
   * @param loop the event loop of the VM
   * @param isDrained does what is due, and returns whether nothing is left to do; called on the
   *     event loop
   */
  ShutdownSequence(
      DrainSchedule schedule, long signalNs, EventLoop loop, BooleanSupplier isDrained) {
    this.schedule = schedule;
    this.signalNs = signalNs;
    this.loop = loop;
    this.isDrained = isDrained;
  }

  /**
   * Returns once the process may end. What is due is done once even if the end has passed, since
   * the process may have stood still until then.
   */
  void awaitEnd() {
    boolean drained;
    do {
      drained = checkDrained();
    } while (!mayEnd(drained) && pause());
  }

  private boolean mayEnd(boolean drained) {
    long elapsedMs = (System.nanoTime() - signalNs) / NS_PER_MS;
    return elapsedMs >= schedule.endMs() || (drained && elapsedMs >= schedule.minimumMs());
  }

  /** Returns false if the event loop has no time for an answer within a poll. */
  private boolean checkDrained() {
    AtomicBoolean drained = new AtomicBoolean();
    return loop.submit(() -> drained.set(isDrained.getAsBoolean()))
            .awaitUninterruptibly(POLL_MS, TimeUnit.MILLISECONDS)
        && drained.get();
  }

  /** Returns false if the thread was interrupted. */
  private static boolean pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
