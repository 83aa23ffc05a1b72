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
 * Knows, at this VM, which upstreams requests may go to by their version, and takes part in the
 * rollouts that run. Without any rollout it costs a look into an empty map.
 */
final class VersionRouter {

  private static final long NS_PER_MS = 1_000_000L;

  private record Open(long registryRevision, List<UpstreamState> views) {}

  private final VmId vm;
  private final Incarnation incarnation;
  private final UpstreamTracker upstreams;
  private final Map<ServiceId, Rollout> rollouts = new HashMap<>();
  private final Map<ServiceId, CanaryTracker> parts = new HashMap<>();
  private final Map<ServiceId, Open> routableUpstreams = new HashMap<>();
  private long revision;
  private long askedSequence;
  private long askedNs;

  VersionRouter(VmId vm, Incarnation incarnation, UpstreamTracker upstreams) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.upstreams = upstreams;
  }

  long revision() {
    return revision;
  }

  /** Takes the newest rollouts over. */
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

  /** Takes what the leader lends, unless this VM has asked again since. */
  void lent(ServingReply.CanaryLoans loans) {
    if (loans.sequence() != askedSequence) {
      return;
    }
    long untilNs = askedNs + loans.forMs() * NS_PER_MS;
    for (CanaryAllowance loan : loans.loans()) {
      Optional.ofNullable(parts.get(loan.service()))
          .ifPresent(part -> part.lent(loan, loans.fencing(), untilNs));
    }
  }

  /** Returns what the leader is to be told with a sync, if a rollout runs. */
  Optional<ServingMessage> createReport(FencingNumber leadership, long nowNs) {
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    askedSequence++;
    askedNs = nowNs;
    List<RolloutReport> uses =
        parts.values().stream().map(part -> part.createReport(leadership, nowNs)).toList();
    return Optional.of(new ServingMessage.Rollouts(vm, incarnation, askedSequence, uses));
  }

  /** Returns a service's upstreams whose version all requests may go to. */
  Collection<UpstreamState> routableUpstreams(ServiceId service) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return upstreams.of(service);
    }
    Open known = routableUpstreams.get(service);
    if (known == null || known.registryRevision() != upstreams.revision()) {
      known = new Open(upstreams.revision(), free(service, rollout));
      routableUpstreams.put(service, known);
    }
    return known.views();
  }

  /** Returns how many places of a service this VM may fill if it hears from no leader. */
  int ownSlots(ServiceId service, long nowNs) {
    return routableUpstreams(service).stream()
        .filter(view -> !view.backpressure().isThrottled(nowNs))
        .mapToInt(UpstreamState::ownShare)
        .sum();
  }

  /** Returns those of the open upstreams that take nothing now, as they are backed off or leave. */
  List<UpstreamId> unavailableUpstreams(ServiceId service, long nowNs) {
    if (!upstreams.mayHaveUnavailable(nowNs)) {
      return List.of();
    }
    return routableUpstreams(service).stream()
        .filter(view -> view.backpressure().isUnavailable(nowNs))
        .map(view -> view.registration().id())
        .toList();
  }

  /** Returns those of the open upstreams with limits for which this VM has a permit now. */
  List<UpstreamState> upstreamsWithPermits(ServiceId service, long nowNs) {
    if (!upstreams.hasLimited()) {
      return List.of();
    }
    return routableUpstreams(service).stream()
        .filter(view -> view.backpressure().isLimited() && view.backpressure().permits(nowNs) > 0)
        .toList();
  }

  /** Returns the upstreams that a request may go to as a canary now. */
  List<UpstreamState> canaryUpstreams(ServiceId service, long nowNs) {
    CanaryTracker part = parts.get(service);
    if (part == null) {
      return List.of();
    }
    return part.targets(nowNs).stream()
        .flatMap(id -> upstreams.find(id).stream())
        .filter(view -> view.registration().service().equals(service))
        .filter(view -> useOf(view) == TrafficPolicy.CANARY)
        .toList();
  }

  void recordSent(ActiveRequest request, UpstreamState view) {
    CanaryTracker part = parts.get(request.service());
    if (part != null) {
      part.recordSent(view);
    }
  }

  /** Notes a stream's first event. */
  void recordResponseStarted(ActiveRequest request, long nowNs) {
    sawFirst(request, nowNs);
    reached(request);
  }

  /** Notes that a caller has left; one that gives up on a slow version before it begins counts. */
  void recordCallerDisconnected(ActiveRequest request, long nowNs) {
    if (!request.hasReached()) {
      sawFirst(request, nowNs);
    }
  }

  /** Notes that a request's time is over before its upstream has begun to answer. */
  void recordTimeout(ActiveRequest request) {
    saw(request, Symptom.FAILURE, Observation.FAILED);
  }

  /** Notes a stream's mean time between events. */
  void recordEventInterval(ActiveRequest request, double elapsedMs) {
    saw(request, Symptom.SLOW_STREAM, TimeBuckets.of(elapsedMs));
  }

  /**
   * Notes how an attempt ended.
   *
   * @param end the end
   * @param suspected whether the request itself is suspected of ending upstreams
   */
  void recordOutcome(ActiveRequest request, AttemptOutcome end, boolean suspected, long nowNs) {
    if (parts.isEmpty() || !end.wasSent()) {
      return;
    }
    boolean plainAnswer = end == AttemptOutcome.ANSWERED && !request.hasReached();
    if (plainAnswer) {
      sawFirst(request, nowNs);
    }
    reached(request);
    switch (end) {
      case ANSWERED -> saw(request, Symptom.FAILURE, Observation.GOOD);
      case FAILED_ANSWER -> saw(request, Symptom.FAILURE, Observation.FAILED);
      case BROKEN -> {
        if (!suspected) {
          saw(request, Symptom.FAILURE, Observation.BROKEN);
        }
      }
      default -> {
        // It didn't run there, so it tells nothing of the version.
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

  private void sawFirst(ActiveRequest request, long nowNs) {
    double elapsedMs = (double) (nowNs - request.sentNs()) / NS_PER_MS;
    saw(request, Symptom.LATE_START, TimeBuckets.of(elapsedMs));
  }

  private void saw(ActiveRequest request, Symptom symptom, int value) {
    CanaryTracker part = parts.get(request.service());
    if (part != null && request.currentUpstream().isPresent()) {
      part.recordObservation(request, request.currentUpstream().get(), symptom, value);
    }
  }

  private List<UpstreamState> free(ServiceId service, Rollout rollout) {
    return upstreams.of(service).stream()
        .filter(view -> rollout.trafficPolicy(view.registration().version()) == TrafficPolicy.ALL)
        .toList();
  }

  private TrafficPolicy useOf(UpstreamState view) {
    return rollouts.get(view.registration().service()).trafficPolicy(view.registration().version());
  }
}
