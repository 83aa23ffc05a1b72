package org.teaseltrail.core.forward;

import java.util.Collection;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Monitors the backoffs that upstreams requested: which requests can't wait until they end, and
 * when the next one ends.
 */
final class BackoffMonitor {

  private static final long NS_PER_MS = 1_000_000L;

  /**
   * Retry-after if there is capacity, in milliseconds: the caller's next attempt goes to another
   * VM.
   */
  private static final long CAPACITY_RETRY_AFTER_MS = 20;

  private final VersionRouter versionRouter;
  private final UpstreamTracker upstreams;
  private long nextBackoffEndNs = Long.MAX_VALUE;

  BackoffMonitor(VersionRouter versionRouter, UpstreamTracker upstreams) {
    this.versionRouter = versionRouter;
    this.upstreams = upstreams;
  }

  /**
   * Returns whether a request would be queued in vain, because all upstreams that it may go to are
   * backed off for longer than it can wait.
   */
  boolean exceedsMaxWait(ActiveRequest request, long nowNs) {
    if (!upstreams.mayHaveBackedOff(nowNs)) {
      return false;
    }
    Collection<UpstreamState> candidates = versionRouter.routableUpstreams(request.service());
    long availableFromNs = LoadBalancingPolicy.availableFromNs(request, candidates, nowNs);
    return availableFromNs > Math.max(nowNs, request.queueDeadlineNs());
  }

  /**
   * Returns the retry-after for a request that got no slot. It is short if any upstream has
   * capacity, as for a request that another upstream rejected, and otherwise not before an upstream
   * accepts requests again.
   */
  long retryAfterMs(ActiveRequest request, long nowNs) {
    Collection<UpstreamState> candidates = versionRouter.routableUpstreams(request.service());
    if (candidates.stream().anyMatch(upstream -> hasCapacity(upstream, nowNs))) {
      return CAPACITY_RETRY_AFTER_MS;
    }
    long backoffMs = (LoadBalancingPolicy.availableFromNs(candidates, nowNs) - nowNs) / NS_PER_MS;
    return Math.max(QueueLengthLimiter.NO_SLOT_RETRY_MS, backoffMs);
  }

  private static boolean hasCapacity(UpstreamState upstream, long nowNs) {
    return upstream.registration().phase() == RegistrationPhase.READY
        && upstream.backpressure().canSend(true, nowNs)
        && upstream.isEligible(nowNs)
        && upstream.hasCapacity(1, nowNs);
  }

  /** Schedules a wakeup for a service's queue at the end of its upstreams' next backoff. */
  void scheduleWakeup(ServiceId service, long nowNs) {
    if (!upstreams.mayHaveBackedOff(nowNs)) {
      return;
    }
    versionRouter.routableUpstreams(service).stream()
        .map(UpstreamState::backpressure)
        .filter(asked -> asked.isBackedOff(nowNs))
        .mapToLong(BackpressureState::backoffEndNs)
        .forEach(endNs -> nextBackoffEndNs = Math.min(nextBackoffEndNs, endNs));
  }

  /**
   * Returns the end of the next backoff for which a wakeup is scheduled, {@link Long#MAX_VALUE} if
   * there is none.
   */
  long nextBackoffEndNs() {
    return nextBackoffEndNs;
  }

  /** Clears the scheduled wakeup if its time has come; returns whether it had. */
  boolean pollBackoffEnd(long nowNs) {
    boolean ended = nowNs >= nextBackoffEndNs;
    nextBackoffEndNs = ended ? Long.MAX_VALUE : nextBackoffEndNs;
    return ended;
  }
}
