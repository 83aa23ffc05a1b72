package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the repeats of one service's requests at this VM, so that all VMs together stay under the
 * bound that the users set. Guards against repeats that feed on themselves: upstreams that are slow
 * or refuse get more to do by each of them.
 */
final class RetryBudget {

  /** Part of the bound that is used; the rest covers the unlike ends of the VMs' windows. */
  private static final double USED_PART = 0.7;

  private final long windowNs;
  private final double ratio;
  private final Deque<Long> requestsNs = new ArrayDeque<>();
  private final Deque<Long> repeatsNs = new ArrayDeque<>();

  RetryBudget(long windowMs, double ratio) {
    windowNs = windowMs * 1_000_000L;
    this.ratio = ratio;
  }

  void request(long nowNs) {
    requestsNs.addLast(nowNs);
    forget(nowNs);
  }

  /** Takes one repeat if the budget allows it. */
  boolean tryAcquire(double ownSlack, long nowNs) {
    forget(nowNs);
    double allowed = USED_PART * (ratio * requestsNs.size() + ownSlack);
    if (repeatsNs.size() + 1 > allowed) {
      return false;
    }
    repeatsNs.addLast(nowNs);
    return true;
  }

  private void forget(long nowNs) {
    forget(requestsNs, nowNs);
    forget(repeatsNs, nowNs);
  }

  private void forget(Deque<Long> times, long nowNs) {
    while (!times.isEmpty() && nowNs - times.peekFirst() > windowNs) {
      times.removeFirst();
    }
  }
}
