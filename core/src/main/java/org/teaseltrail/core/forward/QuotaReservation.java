package org.teaseltrail.core.forward;

/**
 * Is the part of a customer's quota that one request holds: set aside while it waits, used from the
 * moment at which it is sent, and given back once it is known that it has not run.
 *
 * <p>Guards against a quota that is spent by requests that never run: in an overload they are
 * refused after a wait, their callers come back and spend it again, and the customer is refused as
 * over its quota though little of it was served.
 */
abstract class QuotaReservation {

  /** Holds nothing, for customers without a quota. */
  static final QuotaReservation NONE =
      new QuotaReservation() {
        @Override
        void commit(long nowNs) {}

        @Override
        void notRun() {}

        @Override
        void close() {}
      };

  static QuotaReservation of(QuotaWindow window, double amount) {
    return new WindowReservation(window, amount);
  }

  /** Notes that the request is sent to an upstream. */
  abstract void commit(long nowNs);

  /** Notes that it is known not to have run where it was sent. */
  abstract void notRun();

  /** Notes that the request is over: what was not used is free again. */
  abstract void close();

  private static final class WindowReservation extends QuotaReservation {
    private final QuotaWindow window;
    private final double amount;
    private boolean used;
    private long usedNs;

    WindowReservation(QuotaWindow window, double amount) {
      this.window = window;
      this.amount = amount;
      window.reserve(amount);
    }

    @Override
    void commit(long nowNs) {
      if (!used) {
        used = true;
        usedNs = nowNs;
        window.release(amount);
        window.consume(amount, nowNs);
      }
    }

    @Override
    void notRun() {
      if (used) {
        used = false;
        window.refund(amount, usedNs);
        window.reserve(amount);
      }
    }

    @Override
    void close() {
      if (!used) {
        window.release(amount);
      }
    }
  }
}
