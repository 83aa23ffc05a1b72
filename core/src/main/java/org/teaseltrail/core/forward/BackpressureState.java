package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Is what one life of an upstream has asked of its callers, and what this VM may send there all the
 * same. It outlives the upstream's registration here, which may lapse and come back.
 */
final class BackpressureState {

  private static final long NS_PER_MS = 1_000_000L;

  /** Longest backoff that is believed; then a request asks again. */
  private static final long MOST_BACKOFF_MS = 600_000;

  /**
   * Time up to which short backoffs in a row grow. Guards against asking an upstream that stays in
   * need every moment: each time one request goes astray, and a repeat is used up.
   */
  private static final long LONGEST_OWN_BACKOFF_MS = 3_000;

  /**
   * Time after a backoff in which only a request that may go elsewhere too asks whether it is over:
   * any other would be lost to its caller if it is not.
   */
  private static final long CAREFUL_NS = 1_000 * NS_PER_MS;

  private final Deque<Long> permitsUntilNs = new ArrayDeque<>();
  private boolean setLimited;
  private long backoffEndNs = Long.MIN_VALUE;
  private int backoffsInRow;
  private boolean uncertain;
  private boolean asking;
  private boolean leaving;

  /** Takes whether the upstream names a limit. */
  void setLimited(boolean isLimited) {
    setLimited = isLimited;
    if (!isLimited) {
      permitsUntilNs.clear();
    }
  }

  boolean isLimited() {
    return setLimited;
  }

  /** Takes permits of the leader. */
  void addPermits(int requests, long untilNs) {
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
  boolean startBackoff(long backoffMs, long nowNs) {
    if (backoffMs <= 0) {
      return false;
    }
    boolean news = !isBackedOff(nowNs);
    backoffsInRow += news ? 1 : 0;
    long askedMs = Math.min(MOST_BACKOFF_MS, backoffMs);
    long longerMs = Math.min(LONGEST_OWN_BACKOFF_MS, askedMs * backoffsInRow);
    backoffEndNs = Math.max(backoffEndNs, nowNs + Math.max(askedMs, longerMs) * NS_PER_MS);
    uncertain = true;
    asking = false;
    return news;
  }

  boolean isBackedOff(long nowNs) {
    return nowNs < backoffEndNs;
  }

  /** Returns until when it wants nothing; a time that is over if it doesn't ask for it. */
  long backoffEndNs() {
    return backoffEndNs;
  }

  /** Takes that it is about to leave; returns whether that is news. */
  boolean markLeaving() {
    boolean news = !leaving;
    leaving = true;
    return news;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Tells whether it takes nothing from this VM at present. */
  boolean isUnavailable(long nowNs) {
    return leaving || isBackedOff(nowNs);
  }

  /** Tells whether it takes fewer requests than others of its size, or none. */
  boolean isThrottled(long nowNs) {
    return setLimited || isUnavailable(nowNs);
  }

  /**
   * Tells whether a request may be sent now, whichever way has led it here.
   *
   * @param mayGoElsewhere whether the request may be sent to another upstream if it is turned away
   * @param nowNs time
   */
  boolean canSend(boolean mayGoElsewhere, long nowNs) {
    if (isUnavailable(nowNs) || (uncertain && !mayAsk(mayGoElsewhere, nowNs))) {
      return false;
    }
    return !setLimited || permits(nowNs) > 0;
  }

  /**
   * Tells whether a request may ask if the backoff is over. Guards against all that waits being
   * sent at once to an upstream that still turns everything away: one request asks.
   */
  private boolean mayAsk(boolean mayGoElsewhere, long nowNs) {
    return !asking && (mayGoElsewhere || nowNs >= backoffEndNs + CAREFUL_NS);
  }

  /** Takes in that a request is sent. */
  void recordSent() {
    permitsUntilNs.pollFirst();
    asking = uncertain;
  }

  /** Takes in that the upstream works on a request, or has answered it, that was sent at a time. */
  void recordAccepted(long sentNs) {
    if (sentNs >= backoffEndNs) {
      uncertain = false;
      backoffsInRow = 0;
    }
  }

  /** Takes in that a request there is over that was sent at a time, however it ended. */
  void recordEnded(long sentNs) {
    if (sentNs >= backoffEndNs) {
      asking = false;
    }
  }
}
