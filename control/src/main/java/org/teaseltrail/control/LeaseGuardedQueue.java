package org.teaseltrail.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlAction;

/**
 * Queues actions that require the leader lease and sends each one only if the lease is valid at
 * that moment.
 *
 * <p>Guards against a pause of the process between a decision and its sending, caused by the
 * machine or by garbage collection: a grant or an order of a former leader would be sent after
 * another member has taken over. The clock is read again immediately before each send, which
 * reduces the window to the time between two instructions.
 */
final class LeaseGuardedQueue {

  private final Deque<ControlAction> queue = new ArrayDeque<>();
  private final BooleanSupplier leaseValid;
  private final Consumer<ControlAction> sender;

  LeaseGuardedQueue(BooleanSupplier leaseValid, Consumer<ControlAction> sender) {
    this.leaseValid = leaseValid;
    this.sender = sender;
  }

  void add(ControlAction action) {
    queue.addLast(action);
    flush();
  }

  void flush() {
    while (!queue.isEmpty() && leaseValid.getAsBoolean()) {
      sender.accept(queue.removeFirst());
    }
  }

  /** Drops the queued actions of a leadership that has ended. */
  void clear() {
    queue.clear();
  }
}
