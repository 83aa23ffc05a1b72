package org.teaseltrail.core.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Lets decisions of a leadership be taken only while its lease holds.
 *
 * <p>Guards against a leader that was frozen or cut off: it shows as one that still believes to
 * lead while another does, and both would grant the same upstream's room. What comes while the
 * lease does not hold waits here. It goes on when the lease holds again, which it can only if no
 * other member led meanwhile, and is dropped with the leadership if it doesn't.
 */
final class LeaseGate {

  private final BooleanSupplier lease;
  private final Deque<Runnable> held = new ArrayDeque<>();

  LeaseGate(BooleanSupplier lease) {
    this.lease = lease;
  }

  boolean isOpen() {
    return lease.getAsBoolean();
  }

  /** Runs a step now or, in its turn, when the lease holds again. */
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
