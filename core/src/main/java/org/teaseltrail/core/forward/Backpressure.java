package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Is what one life of an upstream has asked of its callers, and what this VM may send there all the
 * same. It outlives the upstream's registration here, which may lapse and come back.
 */
final class Backpressure {

  private static final long NS_PER_MS = 1_000_000L;

  /** Longest rest that is believed; then a request asks again. */
  private static final long MOST_REST_MS = 600_000;

  private final Deque<Long> permitsUntilNs = new ArrayDeque<>();
  private boolean limited;
  private long restUntilNs = Long.MIN_VALUE;
  private boolean leaving;

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

  /** Takes that it wants nothing from this VM for a while; returns whether it wasn't so already. */
  boolean rest(long restMs, long nowNs) {
    boolean news = nowNs >= restUntilNs;
    long believedMs = Math.min(MOST_REST_MS, restMs);
    restUntilNs = Math.max(restUntilNs, nowNs + believedMs * NS_PER_MS);
    return news;
  }

  /** Takes that it is about to leave; returns whether that is news. */
  boolean leave() {
    boolean news = !leaving;
    leaving = true;
    return news;
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
