package org.teaseltrail.core.forward;

import java.util.Collection;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.RegistrationPhase;

/**
 * Knows which requests the backoffs that upstreams asked for leave no time, and when a backoff
 * ends.
 */
final class BackoffWatch {

  private static final long NS_PER_MS = 1_000_000L;

  /** When a caller may come back if there is room: its next try goes to another VM. */
  private static final long ROOM_RETRY_MS = 20;

  private final VersionGate gate;
  private final UpstreamBook upstreams;
  private long nextEndNs = Long.MAX_VALUE;

  BackoffWatch(VersionGate gate, UpstreamBook upstreams) {
    this.gate = gate;
    this.upstreams = upstreams;
  }

  /**
   * Tells whether a request would wait in vain: all upstreams that it may go to want nothing for
   * longer than it can wait.
   */
  boolean outlast(TrackedForward request, long nowNs) {
    if (!upstreams.mayBeBackedOff(nowNs)) {
      return false;
    }
    Collection<UpstreamView> views = gate.open(request.service());
    long takenFromNs = PlacementRule.takenFromNs(request, views, nowNs);
    return takenFromNs > Math.max(nowNs, request.waitsUntilNs());
  }

  /**
   * Returns when a caller may come back that got no place: at once if some upstream has room, as
   * for one that was turned away by another, and not before some upstream takes any.
   */
  long retryAfterMs(TrackedForward request, long nowNs) {
    Collection<UpstreamView> views = gate.open(request.service());
    if (views.stream().anyMatch(view -> hasRoom(view, nowNs))) {
      return ROOM_RETRY_MS;
    }
    long backoffMs = (PlacementRule.takenFromNs(views, nowNs) - nowNs) / NS_PER_MS;
    return Math.max(LineBound.PLACE_RETRY_MS, backoffMs);
  }

  private static boolean hasRoom(UpstreamView view, long nowNs) {
    return view.registration().phase() == RegistrationPhase.READY
        && view.backpressure().allows(true, nowNs)
        && view.isTrusted(nowNs)
        && view.hasRoom(1, nowNs);
  }

  /** Sees to it that a service's line is looked at when the next backoff of its upstreams ends. */
  void watch(ServiceId service, long nowNs) {
    if (!upstreams.mayBeBackedOff(nowNs)) {
      return;
    }
    gate.open(service).stream()
        .map(UpstreamView::backpressure)
        .filter(asked -> asked.isBackedOff(nowNs))
        .mapToLong(Backpressure::backoffUntilNs)
        .forEach(endNs -> nextEndNs = Math.min(nextEndNs, endNs));
  }

  /**
   * Returns when the next backoff ends that is watched, {@link Long#MAX_VALUE} if there is none.
   */
  long nextEndNs() {
    return nextEndNs;
  }

  /** Takes the end of a backoff out; returns whether one has ended. */
  boolean takeEnd(long nowNs) {
    boolean ended = nowNs >= nextEndNs;
    nextEndNs = ended ? Long.MAX_VALUE : nextEndNs;
    return ended;
  }
}
