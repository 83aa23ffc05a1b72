package org.teaseltrail.core.forward;

import java.util.Collection;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Knows which requests the backoffs that upstreams asked for leave no time, and when a backoff
 * ends.
 */
final class BackoffMonitor {

  private static final long NS_PER_MS = 1_000_000L;

  /** When a caller may come back if there is room: its next try goes to another VM. */
  private static final long ROOM_RETRY_MS = 20;

  private final VersionRouter gate;
  private final UpstreamTracker upstreams;
  private long nextBackoffEndNs = Long.MAX_VALUE;

  BackoffMonitor(VersionRouter gate, UpstreamTracker upstreams) {
    this.gate = gate;
    this.upstreams = upstreams;
  }

  /**
   * Tells whether a request would wait in vain: all upstreams that it may go to want nothing for
   * longer than it can wait.
   */
  boolean exceedsMaxWait(ActiveRequest request, long nowNs) {
    if (!upstreams.mayHaveBackedOff(nowNs)) {
      return false;
    }
    Collection<UpstreamState> views = gate.routableUpstreams(request.service());
    long takenFromNs = LoadBalancingPolicy.availableFromNs(request, views, nowNs);
    return takenFromNs > Math.max(nowNs, request.queueDeadlineNs());
  }

  /**
   * Returns when a caller may come back that got no place: at once if some upstream has room, as
   * for one that was turned away by another, and not before some upstream takes any.
   */
  long retryAfterMs(ActiveRequest request, long nowNs) {
    Collection<UpstreamState> views = gate.routableUpstreams(request.service());
    if (views.stream().anyMatch(view -> hasRoom(view, nowNs))) {
      return ROOM_RETRY_MS;
    }
    long backoffMs = (LoadBalancingPolicy.availableFromNs(views, nowNs) - nowNs) / NS_PER_MS;
    return Math.max(QueueLengthLimiter.NO_SLOT_RETRY_MS, backoffMs);
  }

  private static boolean hasRoom(UpstreamState view, long nowNs) {
    return view.registration().phase() == RegistrationPhase.READY
        && view.backpressure().canSend(true, nowNs)
        && view.isEligible(nowNs)
        && view.hasCapacity(1, nowNs);
  }

  /** Sees to it that a service's line is looked at when the next backoff of its upstreams ends. */
  void scheduleWakeup(ServiceId service, long nowNs) {
    if (!upstreams.mayHaveBackedOff(nowNs)) {
      return;
    }
    gate.routableUpstreams(service).stream()
        .map(UpstreamState::backpressure)
        .filter(asked -> asked.isBackedOff(nowNs))
        .mapToLong(BackpressureState::backoffEndNs)
        .forEach(endNs -> nextBackoffEndNs = Math.min(nextBackoffEndNs, endNs));
  }

  /**
   * Returns when the next backoff ends that is watched, {@link Long#MAX_VALUE} if there is none.
   */
  long nextBackoffEndNs() {
    return nextBackoffEndNs;
  }

  /** Takes the end of a backoff out; returns whether one has ended. */
  boolean pollBackoffEnd(long nowNs) {
    boolean ended = nowNs >= nextBackoffEndNs;
    nextBackoffEndNs = ended ? Long.MAX_VALUE : nextBackoffEndNs;
    return ended;
  }
}
