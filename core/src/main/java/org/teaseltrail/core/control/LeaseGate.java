package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Runs decisions of a leadership only while its lease is valid.
 *
 * <p>Without this check, a leader that was paused or partitioned would still believe that it leads
 * while another member does, and both would grant the same capacity of an upstream. Steps that
 * arrive while the lease is not valid are queued here. They run when the lease is valid again,
 * which is possible only if no other member led in between. If the lease does not become valid
 * again, they are dropped with the leadership.
 */
final class LeaseGate {

  private final BooleanSupplier leaseCheck;
  private final Deque<Runnable> held = new ArrayDeque<>();

  LeaseGate(BooleanSupplier leaseCheck) {
    this.leaseCheck = leaseCheck;
  }

  boolean isOpen() {
    return leaseCheck.getAsBoolean();
  }

  /** Runs a step immediately, or in its turn once the lease is valid again. */
  void runUnderLease(Runnable step) {
    held.addLast(step);
    drain();
  }

  void drain() {
    while (!held.isEmpty() && isOpen()) {
      held.removeFirst().run();
    }
  }
}
