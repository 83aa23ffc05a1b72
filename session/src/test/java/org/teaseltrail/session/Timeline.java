package org.teaseltrail.session;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of virtual time. */
final class Timeline {

  static final long MS = 1_000_000L;

  private record Due(long atNs, long order, Runnable task) {}

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::atNs).thenComparingLong(Due::order));
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
    queue.add(new Due(nowNs + Math.max(0, delayNs), order++, task));
  }

  void runFor(long durationNs) {
    long endNs = nowNs + durationNs;
    while (!queue.isEmpty() && queue.peek().atNs() <= endNs) {
      Due next = queue.poll();
      nowNs = next.atNs();
      next.task().run();
      afterEach.run();
    }
    nowNs = endNs;
  }
}
