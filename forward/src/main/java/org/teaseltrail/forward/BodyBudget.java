package org.teaseltrail.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Budget of a process for the bytes of bodies in memory, of requests or of answers. Whoever gets no
 * share waits, in the order of arrival. Used on the event loop only, except {@link #usedBytes}.
 */
final class BodyBudget {

  /** Waits for a share of the budget. */
  interface Waiter {

    /** Returns the bytes that it waits for. */
    long neededBytes();

    /** Called once when the share is reserved for it. */
    void onReserved();
  }

  private final long capacityBytes;
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private volatile long usedBytes;
  private boolean reserving;
  private Runnable onFull = () -> {};

  BodyBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Reserves a share at once, unless it doesn't fit or others wait. */
  boolean tryReserve(long bytes) {
    if (!waiting.isEmpty() || !fits(bytes)) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Sets what is called each time that somebody finds no room. */
  void setOnFull(Runnable action) {
    onFull = action;
  }

  void await(Waiter waiter) {
    onFull.run();
    waiting.addLast(waiter);
  }

  /** Removes a waiter that has given up; others may get what it waited for. */
  void cancel(Waiter waiter) {
    if (waiting.remove(waiter)) {
      reserveForWaiting();
    }
  }

  void release(long bytes) {
    usedBytes -= bytes;
    reserveForWaiting();
  }

  long usedBytes() {
    return usedBytes;
  }

  int waitingCount() {
    return waiting.size();
  }

  /** A share larger than the budget fits when nothing else is reserved. */
  private boolean fits(long bytes) {
    return usedBytes == 0 || usedBytes + bytes <= capacityBytes;
  }

  /**
   * Reserves shares for those who wait. One that gives its share back at once is followed by the
   * next one here, not within its own call: a stack has no room for thousands.
   */
  private void reserveForWaiting() {
    if (reserving) {
      return;
    }
    reserving = true;
    try {
      while (!waiting.isEmpty() && fits(waiting.peekFirst().neededBytes())) {
        Waiter next = waiting.pollFirst();
        usedBytes += next.neededBytes();
        next.onReserved();
      }
    } finally {
      reserving = false;
    }
  }
}
