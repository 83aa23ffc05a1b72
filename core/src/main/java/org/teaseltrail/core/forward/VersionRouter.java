package org.teaseltrail.core.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.Observation;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutReport;
import org.teaseltrail.core.rollout.Symptom;
import org.teaseltrail.core.rollout.TimeBuckets;
import org.teaseltrail.core.rollout.TrafficPolicy;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Selects the upstreams that requests may be routed to by their version, and tracks this VM's part
 * in running rollouts. Without a rollout it costs one lookup in an empty map.
 */
final class VersionRouter {

  private static final long NS_PER_MS = 1_000_000L;

  private record CachedUpstreams(long registryRevision, List<UpstreamState> upstreams) {}

  private final VmId vm;
  private final Incarnation incarnation;
  private final UpstreamTracker upstreams;
  private final Map<ServiceId, Rollout> rollouts = new HashMap<>();
  private final Map<ServiceId, CanaryTracker> parts = new HashMap<>();
  private final Map<ServiceId, CachedUpstreams> routableUpstreams = new HashMap<>();
  private long revision;
  private long requestSequence;
  private long requestedNs;

  VersionRouter(VmId vm, Incarnation incarnation, UpstreamTracker upstreams) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.upstreams = upstreams;
  }

  long revision() {
    return revision;
  }

  /** Applies the newest rollouts. */
  void applyUpdate(ServingReply.RolloutUpdate update) {
    if (update.revision() <= revision) {
      return;
    }
    revision = update.revision();
    routableUpstreams.clear();
    rollouts.clear();
    for (Rollout rollout : update.rollouts()) {
      ServiceId service = rollout.order().service();
      rollouts.put(service, rollout);
      CanaryTracker part = parts.get(service);
      if (!rollout.phase().isOpen()) {
        parts.remove(service);
      } else if (part == null || !part.belongsTo(rollout)) {
        parts.put(service, new CanaryTracker(rollout));
      }
    }
  }

  /**
   * Applies the leader's canary allowances, unless this VM has sent another request for them since.
   */
  void lent(ServingReply.CanaryLoans loans) {
    if (loans.sequence() != requestSequence) {
      return;
    }
    long expiryNs = requestedNs + loans.forMs() * NS_PER_MS;
    for (CanaryAllowance allowance : loans.loans()) {
      Optional.ofNullable(parts.get(allowance.service()))
          .ifPresent(part -> part.lent(allowance, loans.fencing(), expiryNs));
    }
  }

  /** Returns the report for the leader that goes with a sync, if a rollout is running. */
  Optional<ServingMessage> createReport(FencingNumber leadership, long nowNs) {
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    requestSequence++;
    requestedNs = nowNs;
    List<RolloutReport> uses =
        parts.values().stream().map(part -> part.createReport(leadership, nowNs)).toList();
    return Optional.of(new ServingMessage.Rollouts(vm, incarnation, requestSequence, uses));
  }

  /** Returns a service's upstreams whose version may receive any request. */
  Collection<UpstreamState> routableUpstreams(ServiceId service) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return upstreams.of(service);
    }
    CachedUpstreams cached = routableUpstreams.get(service);
    if (cached == null || cached.registryRevision() != upstreams.revision()) {
      cached = new CachedUpstreams(upstreams.revision(), unrestricted(service, rollout));
      routableUpstreams.put(service, cached);
    }
    return cached.upstreams();
  }

  /** Returns the number of a service's slots that this VM may use without a leader. */
  int ownSlots(ServiceId service, long nowNs) {
    return routableUpstreams(service).stream()
        .filter(upstream -> !upstream.backpressure().isThrottled(nowNs))
        .mapToInt(UpstreamState::ownShare)
        .sum();
  }

  /**
   * Returns the routable upstreams that accept no requests now, because they are backed off or
   * leaving.
   */
  List<UpstreamId> unavailableUpstreams(ServiceId service, long nowNs) {
    if (!upstreams.mayHaveUnavailable(nowNs)) {
      return List.of();
    }
    return routableUpstreams(service).stream()
        .filter(upstream -> upstream.backpressure().isUnavailable(nowNs))
        .map(upstream -> upstream.registration().id())
        .toList();
  }

  /** Returns the routable upstreams with rate limits for which this VM holds a permit. */
  List<UpstreamState> upstreamsWithPermits(ServiceId service, long nowNs) {
    if (!upstreams.hasLimited()) {
      return List.of();
    }
    return routableUpstreams(service).stream()
        .filter(
            upstream ->
                upstream.backpressure().isLimited() && upstream.backpressure().permits(nowNs) > 0)
        .toList();
  }

  /** Returns the upstreams that a request may be sent to as a canary now. */
  List<UpstreamState> canaryUpstreams(ServiceId service, long nowNs) {
    CanaryTracker part = parts.get(service);
    if (part == null) {
      return List.of();
    }
    return part.targets(nowNs).stream()
        .flatMap(id -> upstreams.find(id).stream())
        .filter(upstream -> upstream.registration().service().equals(service))
        .filter(upstream -> trafficPolicy(upstream) == TrafficPolicy.CANARY)
        .toList();
  }

  void recordSent(ActiveRequest request, UpstreamState upstream) {
    CanaryTracker part = parts.get(request.service());
    if (part != null) {
      part.recordSent(upstream);
    }
  }

  /** Records the first event of a stream. */
  void recordResponseStarted(ActiveRequest request, long nowNs) {
    recordFirstEvent(request, nowNs);
    reached(request);
  }

  /**
   * Records that a caller has disconnected. If that was before the response started it counts as an
   * observation, so that callers that give up on a slow version are counted.
   */
  void recordCallerDisconnected(ActiveRequest request, long nowNs) {
    if (!request.hasReached()) {
      recordFirstEvent(request, nowNs);
    }
  }

  /** Records a timeout before the upstream started to respond. */
  void recordTimeout(ActiveRequest request) {
    recordObservation(request, Symptom.FAILURE, Observation.FAILED);
  }

  /** Records the mean time between a stream's events. */
  void recordEventInterval(ActiveRequest request, double elapsedMs) {
    recordObservation(request, Symptom.SLOW_STREAM, TimeBuckets.of(elapsedMs));
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param end the outcome
   * @param suspected whether the request itself is suspected of crashing upstreams
   */
  void recordOutcome(ActiveRequest request, AttemptOutcome end, boolean suspected, long nowNs) {
    if (parts.isEmpty() || !end.wasSent()) {
      return;
    }
    boolean unstreamed = end == AttemptOutcome.ANSWERED && !request.hasReached();
    if (unstreamed) {
      recordFirstEvent(request, nowNs);
    }
    reached(request);
    switch (end) {
      case ANSWERED -> recordObservation(request, Symptom.FAILURE, Observation.GOOD);
      case FAILED_ANSWER -> recordObservation(request, Symptom.FAILURE, Observation.FAILED);
      case BROKEN -> {
        if (!suspected) {
          recordObservation(request, Symptom.FAILURE, Observation.BROKEN);
        }
      }
      default -> {
        // The request didn't run there, so the outcome shows nothing about the version.
      }
    }
  }

  /** Counts an attempt that has reached its upstream, once. */
  private void reached(ActiveRequest request) {
    CanaryTracker part = parts.get(request.service());
    if (part != null && request.markReached()) {
      part.reached();
    }
  }

  private void recordFirstEvent(ActiveRequest request, long nowNs) {
    double elapsedMs = (double) (nowNs - request.sentNs()) / NS_PER_MS;
    recordObservation(request, Symptom.LATE_START, TimeBuckets.of(elapsedMs));
  }

  private void recordObservation(ActiveRequest request, Symptom symptom, int value) {
    CanaryTracker part = parts.get(request.service());
    if (part != null && request.currentUpstream().isPresent()) {
      part.recordObservation(request, request.currentUpstream().get(), symptom, value);
    }
  }

  private List<UpstreamState> unrestricted(ServiceId service, Rollout rollout) {
    return upstreams.of(service).stream()
        .filter(
            upstream ->
                rollout.trafficPolicy(upstream.registration().version()) == TrafficPolicy.ALL)
        .toList();
  }

  private TrafficPolicy trafficPolicy(UpstreamState upstream) {
    return rollouts
        .get(upstream.registration().service())
        .trafficPolicy(upstream.registration().version());
  }
}
