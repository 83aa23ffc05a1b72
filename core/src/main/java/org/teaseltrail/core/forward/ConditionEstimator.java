package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.contention.FeatureMode;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.placement.ServiceTimes;
import org.teaseltrail.core.placement.UpstreamConditionTracker;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.serving.UpstreamCondition;

/**
 * Estimates what a request takes at each upstream from the conditions that this VM and, through the
 * leader, all others heard. It covers the services to which the feature applies.
 */
final class ConditionEstimator {

  /**
   * Event latency that is assumed while none is known, in milliseconds. It keeps the upstreams in
   * order and is far too short for any of them to count as late.
   */
  private static final double UNKNOWN_EVENT_MS = 1;

  /** Minimum time between two reports: a tenth of the time after which one is out of date. */
  private static final long REPORT_INTERVAL_NS = 50_000_000L;

  private final ServiceFeature feature;
  private final UpstreamTracker upstreams;
  private final UpstreamConditionTracker conditions = new UpstreamConditionTracker();
  private final Map<ServiceId, PromptObservations> prompts = new HashMap<>();
  private long knownRevision = -1;
  private long reportedNs;
  private Optional<FencingNumber> reportedTo = Optional.empty();

  ConditionEstimator(FeatureMode mode, UpstreamTracker upstreams) {
    feature = new ServiceFeature(mode, upstreams);
    this.upstreams = upstreams;
  }

  /** Returns whether upstreams of a service are chosen by their conditions. */
  boolean appliesTo(ServiceId service) {
    if (feature.isOff()) {
      return false;
    }
    if (upstreams.revision() != knownRevision) {
      knownRevision = upstreams.revision();
      conditions.retain(upstreams.incarnations());
    }
    return feature.appliesTo(service);
  }

  /** Records the work time that an upstream reported; ignored for an earlier incarnation. */
  void recordWorkTime(UpstreamIncarnation upstream, int percent, long nowNs) {
    if (covers(upstream)) {
      conditions.recordWorkTime(upstream, percent, nowNs);
    }
  }

  /** Records the time that a part of a response took. */
  void recordEventLatency(UpstreamId id, double elapsedMs, long nowNs) {
    upstreams
        .find(id)
        .map(state -> state.registration().upstreamIncarnation())
        .filter(this::covers)
        .ifPresent(upstream -> conditions.recordEventLatency(upstream, elapsedMs, nowNs));
  }

  /** Applies what other VMs heard. */
  void applyUpdate(ServingReply.ConditionUpdate update, long nowNs) {
    for (UpstreamCondition condition : update.conditions()) {
      if (covers(condition.upstream())) {
        conditions.mergeKnown(condition, nowNs);
      }
    }
  }

  private boolean covers(UpstreamIncarnation upstream) {
    return upstreams
        .find(upstream.id())
        .map(UpstreamState::registration)
        .filter(registration -> registration.upstreamIncarnation().equals(upstream))
        .filter(registration -> appliesTo(registration.service()))
        .isPresent();
  }

  /** Returns whether there may be news for the leader that shouldn't wait for the next sync. */
  boolean isReportDue(long nowNs) {
    return conditions.mayHaveChanges() && nowNs - reportedNs >= REPORT_INTERVAL_NS;
  }

  /** Returns what the leader doesn't know yet; a new leader knows nothing. */
  Optional<ServingMessage> createReport(VmId vm, FencingNumber leadership, long nowNs) {
    if (!reportedTo.equals(Optional.of(leadership))) {
      reportedTo = Optional.of(leadership);
      conditions.forgetKnown();
    }
    if (feature.isOff() || !conditions.mayHaveChanges()) {
      return Optional.empty();
    }
    reportedNs = nowNs;
    List<UpstreamCondition> changes = conditions.takeChanges(nowNs);
    return changes.isEmpty()
        ? Optional.empty()
        : Optional.of(new ServingMessage.Conditions(vm, changes));
  }

  /** Returns the estimate of what a request takes at the upstreams of its service. */
  RequestEstimate estimate(ActiveRequest request, long nowNs) {
    ServiceId service = request.service();
    double eventMs =
        conditions.meanEventLatencyMs(
            upstreams.of(service).stream()
                .map(state -> state.registration().upstreamIncarnation())
                .toList());
    ServiceTimes times = prompts(service).times(eventMs > 0 ? eventMs : UNKNOWN_EVENT_MS);
    return new RequestEstimate(request, times, eventMs, conditions, nowNs);
  }

  /** Records that a request goes to an upstream, with its expected time to the first event. */
  void recordDispatch(ActiveRequest request, UpstreamState upstream, long nowNs) {
    if (appliesTo(request.service())) {
      RequestEstimate estimate = estimate(request, nowNs);
      if (estimate.isAbsolute()) {
        request.expectFirstEventMs(estimate.firstEventMs(upstream));
      }
      prompts(request.service()).recordPrompt(request.request().promptTokens().orElse(0));
    }
  }

  /** Compares the expected with the actual time to a first event. */
  void recordFirstEvent(ActiveRequest request, long nowNs) {
    request
        .expectedFirstEventMs()
        .ifPresent(
            expectedMs ->
                prompts(request.service())
                    .recordFirstEvent(expectedMs, (nowNs - request.sentNs()) / 1e6));
  }

  private PromptObservations prompts(ServiceId service) {
    return prompts.computeIfAbsent(service, key -> new PromptObservations());
  }
}
