package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The backpressure state of one incarnation of an upstream: its rate limit, the backoff that it
 * requested, and the permits that this VM holds for it. The state outlives the upstream's
 * registration here, which may expire and be renewed.
 */
final class BackpressureState {

  private static final long NS_PER_MS = 1_000_000L;

  /** Maximum backoff that is honoured; after it a probe request is sent. */
  private static final long MAX_BACKOFF_MS = 600_000;

  /**
   * Maximum backoff reached by lengthening consecutive short backoffs. Without the growth an
   * upstream that stays overloaded would be probed continuously: each probe is one rejected request
   * and consumes a retry.
   */
  private static final long MAX_EXTENDED_BACKOFF_MS = 3_000;

  /**
   * Time after a backoff in which only a request that may be retried at another upstream is used as
   * the probe: any other request would be lost to its caller if the upstream still rejects
   * requests.
   */
  private static final long RETRYABLE_PROBE_NS = 1_000 * NS_PER_MS;

  private final Deque<Long> permitExpiriesNs = new ArrayDeque<>();
  private boolean rateLimited;
  private long backoffEndNs = Long.MIN_VALUE;
  private int consecutiveBackoffs;
  private boolean needsProbe;
  private boolean probing;
  private boolean leaving;

  /** Sets whether the upstream has named a rate limit. */
  void setLimited(boolean isLimited) {
    rateLimited = isLimited;
    if (!isLimited) {
      permitExpiriesNs.clear();
    }
  }

  boolean isLimited() {
    return rateLimited;
  }

  /** Adds permits granted by the leader. */
  void addPermits(int requests, long expiryNs) {
    for (int i = 0; i < requests; i++) {
      permitExpiriesNs.addLast(expiryNs);
    }
  }

  /** Returns the number of permits that are currently valid. */
  int permits(long nowNs) {
    permitExpiriesNs.removeIf(expiryNs -> nowNs > expiryNs);
    return permitExpiriesNs.size();
  }

  /** Starts or extends a backoff; returns whether the upstream was not backed off already. */
  boolean startBackoff(long backoffMs, long nowNs) {
    if (backoffMs <= 0) {
      return false;
    }
    boolean isNew = !isBackedOff(nowNs);
    consecutiveBackoffs += isNew ? 1 : 0;
    long requestedMs = Math.min(MAX_BACKOFF_MS, backoffMs);
    long extendedMs = Math.min(MAX_EXTENDED_BACKOFF_MS, requestedMs * consecutiveBackoffs);
    backoffEndNs = Math.max(backoffEndNs, nowNs + Math.max(requestedMs, extendedMs) * NS_PER_MS);
    needsProbe = true;
    probing = false;
    return isNew;
  }

  boolean isBackedOff(long nowNs) {
    return nowNs < backoffEndNs;
  }

  /** Returns the end of the backoff; a time in the past if there is none. */
  long backoffEndNs() {
    return backoffEndNs;
  }

  /** Marks the upstream as leaving; returns whether it wasn't marked before. */
  boolean markLeaving() {
    boolean isNew = !leaving;
    leaving = true;
    return isNew;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Returns whether the upstream accepts no requests from this VM at present. */
  boolean isUnavailable(long nowNs) {
    return leaving || isBackedOff(nowNs);
  }

  /** Returns whether the upstream accepts fewer requests than others of its size, or none. */
  boolean isThrottled(long nowNs) {
    return rateLimited || isUnavailable(nowNs);
  }

  /**
   * Returns whether a request may be sent now, whether it was dispatched locally, as a canary or by
   * a grant of the leader.
   *
   * @param canTryAnother whether the request may be sent to another upstream if this one rejects it
   * @param nowNs current time, in nanoseconds
   */
  boolean canSend(boolean canTryAnother, long nowNs) {
    if (isUnavailable(nowNs) || (needsProbe && !canProbe(canTryAnother, nowNs))) {
      return false;
    }
    return !rateLimited || permits(nowNs) > 0;
  }

  /**
   * Returns whether a request may probe if the backoff is over. Only one probe is in flight at a
   * time, so that the whole queue isn't sent to an upstream that still rejects everything.
   */
  private boolean canProbe(boolean canTryAnother, long nowNs) {
    return !probing && (canTryAnother || nowNs >= backoffEndNs + RETRYABLE_PROBE_NS);
  }

  /** Records that a request is sent. */
  void recordSent() {
    permitExpiriesNs.pollFirst();
    probing = needsProbe;
  }

  /** Records that the upstream accepted a request that was sent at the given time. */
  void recordAccepted(long sentNs) {
    if (sentNs >= backoffEndNs) {
      needsProbe = false;
      consecutiveBackoffs = 0;
    }
  }

  /** Records that a request that was sent at the given time has ended, whatever its outcome. */
  void recordEnded(long sentNs) {
    if (sentNs >= backoffEndNs) {
      probing = false;
    }
  }
}
