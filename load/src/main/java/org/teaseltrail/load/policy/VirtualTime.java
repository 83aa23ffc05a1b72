package org.teaseltrail.load.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their times, and tasks of one time in the order of their adding. */
final class VirtualTime {

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atNs).thenComparingLong(Task::number));
  private long nowNs;
  private long added;

  long nowNs() {
    return nowNs;
  }

  /** Adds a task; a time that has passed counts as now. */
  void at(long atNs, Runnable action) {
    tasks.add(new Task(Math.max(atNs, nowNs), added++, action));
  }

  /** Adds a task after a delay. */
  void after(long delayNs, Runnable action) {
    at(nowNs + delayNs, action);
  }

  /** Runs all tasks up to a time. */
  void runUntil(long endNs) {
    while (!tasks.isEmpty() && tasks.peek().atNs() <= endNs) {
      Task task = tasks.poll();
      nowNs = task.atNs();
      task.action().run();
    }
    nowNs = endNs;
  }

  private record Task(long atNs, long number, Runnable action) {}
}
