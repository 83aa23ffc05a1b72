package org.teaseltrail.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlAction;

/**
 * Sends outward actions only while the member's lease holds at that very moment.
 *
 * <p>Guards against a process that is frozen between a decision and its sending, by the machine or
 * by garbage collection: it shows as a grant or an order of a leader that another has followed
 * meanwhile. The clock is read again right before each sending, so at most the time between two
 * instructions is left.
 */
final class OutwardQueue {

  private final Deque<ControlAction> queue = new ArrayDeque<>();
  private final BooleanSupplier leaseHolds;
  private final Consumer<ControlAction> sender;

  OutwardQueue(BooleanSupplier leaseHolds, Consumer<ControlAction> sender) {
    this.leaseHolds = leaseHolds;
    this.sender = sender;
  }

  void add(ControlAction action) {
    queue.addLast(action);
    flush();
  }

  void flush() {
    while (!queue.isEmpty() && leaseHolds.getAsBoolean()) {
      sender.accept(queue.removeFirst());
    }
  }

  /** Drops what an ended leadership has left. */
  void clear() {
    queue.clear();
  }
}
