package org.teaseltrail.load.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Executor of a discrete-event simulation: runs tasks by their scheduled virtual time, and tasks
 * with equal times in the order in which they were added.
 */
final class VirtualTimeExecutor {

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atNs).thenComparingLong(Task::number));
  private long nowNs;
  private long nextNumber;

  long nowNs() {
    return nowNs;
  }

  /** Schedules a task at a time; a time in the past is treated as the current time. */
  void scheduleAt(long atNs, Runnable action) {
    tasks.add(new Task(Math.max(atNs, nowNs), nextNumber++, action));
  }

  /** Schedules a task after a delay. */
  void scheduleAfter(long delayNs, Runnable action) {
    scheduleAt(nowNs + delayNs, action);
  }

  /** Runs all tasks that are due until the given time, inclusive. */
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
