package org.teaseltrail.core.forward;

/**
 * The reservation that one request holds of its customer's quota: reserved while the request is
 * queued, consumed when it is sent, and refunded once it is known not to have run.
 *
 * <p>Without it, requests that never run would consume the quota: in an overload they are refused
 * after waiting, their callers retry and consume it again, and the customer is refused as over its
 * quota although few of its requests were served.
 */
abstract class QuotaReservation {

  /** The reservation of a customer without a quota. */
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

  /** Consumes the reserved amount, when the request is sent to an upstream. */
  abstract void commit(long nowNs);

  /**
   * Refunds the consumed amount and reserves it again, once the request is known not to have run.
   */
  abstract void notRun();

  /** Releases what was not consumed, when the request has ended. */
  abstract void close();

  private static final class WindowReservation extends QuotaReservation {
    private final QuotaWindow window;
    private final double amount;
    private boolean used;
    private long consumedNs;

    WindowReservation(QuotaWindow window, double amount) {
      this.window = window;
      this.amount = amount;
      window.reserve(amount);
    }

    @Override
    void commit(long nowNs) {
      if (!used) {
        used = true;
        consumedNs = nowNs;
        window.release(amount);
        window.consume(amount, nowNs);
      }
    }

    @Override
    void notRun() {
      if (used) {
        used = false;
        window.refund(amount, consumedNs);
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
