package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Is what one life of an upstream has asked of its callers, and what this VM may send there all the
 * same. It outlives the upstream's registration here, which may lapse and come back.
 */
final class Backpressure {

  private final Deque<Long> permitsUntilNs = new ArrayDeque<>();
  private boolean limited;

  /** Takes whether the upstream names a limit. */
  void limited(boolean isLimited) {
    limited = isLimited;
    if (!isLimited) {
      permitsUntilNs.clear();
    }
  }

  boolean isLimited() {
    return limited;
  }

  /** Takes permits of the leader. */
  void permitted(int requests, long untilNs) {
    for (int i = 0; i < requests; i++) {
      permitsUntilNs.addLast(untilNs);
    }
  }

  /** Returns how many permits are good now. */
  int permits(long nowNs) {
    permitsUntilNs.removeIf(untilNs -> nowNs > untilNs);
    return permitsUntilNs.size();
  }

  /** Tells whether a request may be sent now, whichever way has led it here. */
  boolean allows(long nowNs) {
    return !limited || permits(nowNs) > 0;
  }

  /** Takes in that a request is sent. */
  void sent() {
    permitsUntilNs.pollFirst();
  }
}
