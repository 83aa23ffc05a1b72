package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The retry budget of one service at this VM, which keeps all VMs together below the configured
 * ratio of retries. It prevents retry storms: upstreams that are slow or reject requests would get
 * more load by each retry.
 */
final class RetryBudget {

  /**
   * Fraction of the budget that is used; the rest allows for the VMs' windows not being aligned.
   */
  private static final double USED_FRACTION = 0.7;

  private final long windowNs;
  private final double ratio;
  private final Deque<Long> requestsNs = new ArrayDeque<>();
  private final Deque<Long> retriesNs = new ArrayDeque<>();

  RetryBudget(long windowMs, double ratio) {
    windowNs = windowMs * 1_000_000L;
    this.ratio = ratio;
  }

  void request(long nowNs) {
    requestsNs.addLast(nowNs);
    dropExpired(nowNs);
  }

  /** Consumes one retry if the budget allows it. */
  boolean tryAcquire(double ownSlack, long nowNs) {
    dropExpired(nowNs);
    double allowed = USED_FRACTION * (ratio * requestsNs.size() + ownSlack);
    if (retriesNs.size() + 1 > allowed) {
      return false;
    }
    retriesNs.addLast(nowNs);
    return true;
  }

  private void dropExpired(long nowNs) {
    dropExpired(requestsNs, nowNs);
    dropExpired(retriesNs, nowNs);
  }

  private void dropExpired(Deque<Long> times, long nowNs) {
    while (!times.isEmpty() && nowNs - times.peekFirst() > windowNs) {
      times.removeFirst();
    }
  }
}
