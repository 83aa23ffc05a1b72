package org.teaseltrail.session;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete-event scheduler that runs tasks in the order of virtual time. */
final class Timeline {

  static final long MS = 1_000_000L;

  private record ScheduledTask(long atNs, long order, Runnable task) {}

  private final PriorityQueue<ScheduledTask> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atNs).thenComparingLong(ScheduledTask::order));
  private Runnable afterEach = () -> {};
  private long nowNs;
  private long order;

  long nowNs() {
    return nowNs;
  }

  void afterEach(Runnable check) {
    afterEach = check;
  }

  void after(long delayNs, Runnable task) {
    queue.add(new ScheduledTask(nowNs + Math.max(0, delayNs), order++, task));
  }

  void runFor(long durationNs) {
    long endNs = nowNs + durationNs;
    while (!queue.isEmpty() && queue.peek().atNs() <= endNs) {
      ScheduledTask next = queue.poll();
      nowNs = next.atNs();
      next.task().run();
      afterEach.run();
    }
    nowNs = endNs;
  }
}
